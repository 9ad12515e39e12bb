package org.teaseldeal.net;

/** A call in flight. */
@FunctionalInterface
public interface HttpCall {
  /** Cancels the call and closes its connection; the listener receives no further callback. */
  void cancel();
}
