package org.teaseldeal.gateway.path;

/** A request that was sent to a server and may not have arrived yet. */
interface SentRequest {
  /** A request to a server that takes any number. */
  SentRequest UNCOUNTED =
      new SentRequest() {
        @Override
        public void onArrived() {}

        @Override
        public void onNotSent() {}
      };

  /** Records that the request has arrived, or that nothing more of it is sent. */
  void onArrived();

  /** Records that nothing of the request was sent. */
  void onNotSent();
}
