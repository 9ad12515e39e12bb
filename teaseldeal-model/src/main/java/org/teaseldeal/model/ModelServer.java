package org.teaseldeal.model;

import org.teaseldeal.net.HttpCall;

/** A backend server. */
interface ModelServer {
  /** Its name in the network, its address and its id. */
  String name();

  /** How what a server makes of a request comes back to the instance that sent it. */
  interface Listener {
    /** An event of a stream, or the whole answer of a plain request. */
    void onPart();

    void onEnd();

    /** It was not run: there is no room. */
    void onFull();

    /** The server crashed. */
    void onBroken();
  }

  /** Runs a request; the call closes its connection, which ends it. */
  HttpCall run(ModelRequest request, Listener listener);

  /** Ends all that runs, or starts again with nothing. */
  void crash(boolean down);

  boolean down();
}
