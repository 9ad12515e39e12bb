package org.teaseldeal.net;

import java.util.concurrent.atomic.AtomicLong;

/** A limit on the number of bytes that all connections of a server together may hold. */
final class ByteBudget {
  private final long limit;
  private final AtomicLong reserved = new AtomicLong();

  ByteBudget(long limit) {
    this.limit = limit;
  }

  /** Reserves {@code bytes}; returns false and reserves nothing if they would exceed the limit. */
  boolean tryReserve(int bytes) {
    if (reserved.addAndGet(bytes) <= limit) {
      return true;
    }
    reserved.addAndGet(-bytes);
    return false;
  }

  void release(int bytes) {
    reserved.addAndGet(-bytes);
  }
}
