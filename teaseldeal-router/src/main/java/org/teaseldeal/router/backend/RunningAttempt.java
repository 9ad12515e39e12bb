package org.teaseldeal.router.backend;

import org.jspecify.annotations.Nullable;
import org.teaseldeal.net.HttpCall;

/** The call of a running attempt, which can be cancelled even before the call is set. */
final class RunningAttempt {
  private @Nullable HttpCall call;
  private boolean cancelled;

  synchronized void setCall(HttpCall started) {
    call = started;
    if (cancelled) {
      started.cancel();
    }
  }

  synchronized void cancel() {
    cancelled = true;
    if (call != null) {
      call.cancel();
    }
  }
}
