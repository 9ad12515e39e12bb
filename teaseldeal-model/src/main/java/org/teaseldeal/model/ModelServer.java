package org.teaseldeal.model;

import org.teaseldeal.net.HttpCall;

/** A simulated backend server. */
interface ModelServer {
  /** Returns the name that serves as network node, address and server id. */
  String name();

  /** Receives a request's answer for the instance that sent the request. */
  interface Listener {
    /** Called for an event of a stream, or for the whole answer of a plain request. */
    void onBodyPart();

    void onEnd();

    /** Called if the request is not run because the server's queue is full. */
    void onQueueFull();

    /** Called if the server crashes before the answer is complete. */
    void onCrash();
  }

  /**
   * Runs a request; the returned call closes the request's connection, which cancels it.
   *
   * @param eventsBefore the number of events that the caller already has, after which a stream goes
   *     on
   */
  HttpCall run(ModelRequest request, int eventsBefore, Listener listener);

  /** Crashes the server, or starts it again; either way its requests and its cache are lost. */
  void setDown(boolean down);

  boolean isDown();
}
