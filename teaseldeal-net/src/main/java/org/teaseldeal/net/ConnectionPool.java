package org.teaseldeal.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Counts the open connections per address and holds the idle ones. */
final class ConnectionPool {
  private static final class Entry {
    int openCount;
    final Deque<ClientConnection> idle = new ArrayDeque<>();
  }

  private final HttpClientConfig config;
  private final Map<InetSocketAddress, Entry> entries = new HashMap<>();

  ConnectionPool(HttpClientConfig config) {
    this.config = config;
  }

  HttpClientConfig config() {
    return config;
  }

  /**
   * Takes the most recently used idle connection, as it is the least likely to have been closed by
   * the server.
   */
  synchronized @Nullable ClientConnection takeIdle(InetSocketAddress address) {
    Entry entry = entries.get(address);
    return entry == null ? null : entry.idle.pollLast();
  }

  /** Counts a connection that is about to be opened; returns false if the limit is reached. */
  synchronized boolean tryReserve(InetSocketAddress address) {
    Entry entry = entries.computeIfAbsent(address, key -> new Entry());
    if (entry.openCount >= config.maxConnectionsPerAddress()) {
      return false;
    }
    entry.openCount++;
    return true;
  }

  /** Uncounts a connection that was closed or could not be opened. */
  synchronized void release(InetSocketAddress address) {
    Entry entry = entries.get(address);
    if (entry != null && --entry.openCount == 0) {
      entries.remove(address);
    }
  }

  /** Adds an idle connection to the pool; returns false if the pool holds enough of them. */
  synchronized boolean offerIdle(InetSocketAddress address, ClientConnection connection) {
    Entry entry = entries.get(address);
    if (entry == null || entry.idle.size() >= config.maxIdlePerAddress()) {
      return false;
    }
    entry.idle.addLast(connection);
    return true;
  }

  /** Removes one connection from the idle ones; returns false if it was not among them. */
  synchronized boolean removeIdle(InetSocketAddress address, ClientConnection connection) {
    Entry entry = entries.get(address);
    return entry != null && entry.idle.remove(connection);
  }
}
