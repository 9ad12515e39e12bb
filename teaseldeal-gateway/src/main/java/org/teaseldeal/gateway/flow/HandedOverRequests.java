package org.teaseldeal.gateway.flow;

/** The requests that instances have handed over to each other, as the drain of one sees them. */
public interface HandedOverRequests {
  /** Of an instance that takes no requests of others and hands none over. */
  HandedOverRequests NONE =
      new HandedOverRequests() {
        @Override
        public int taken() {
          return 0;
        }

        @Override
        public int abortHandedOver() {
          return 0;
        }
      };

  /** The number of requests that this instance has taken and not answered completely. */
  int taken();

  /** Ends the requests that other instances have taken from this one, and returns their number. */
  int abortHandedOver();
}
