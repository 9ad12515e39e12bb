package org.teaseldeal.core.system;

import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.core.table.RequestRow;

/** Ends requests whose deadlines have passed, each with an error that matches its stage. */
final class DeadlineSystem {
  private final Context context;
  private final RequestCompletion completion;
  private final AttemptSystem attempts;

  DeadlineSystem(Context context, RequestCompletion completion, AttemptSystem attempts) {
    this.context = context;
    this.completion = completion;
    this.attempts = attempts;
  }

  void run() {
    for (RequestRow request : due()) {
      switch (request.stage) {
        case WAITING_FOR_TOKENS -> expire(request, "it waited for tokens of its budget");
        case WAITING_FOR_CLAIM -> expire(request, "it waited for its claim on the log");
        case QUEUED -> expire(request, "it waited for a backend server");
        case RUNNING -> attempts.onDeadline(request);
        case SETTLING, ENDED -> {}
      }
    }
  }

  private void expire(RequestRow request, String detail) {
    completion.fail(request, ErrorKind.EXPIRED_WAITING, detail, context.limits().retryAfter());
  }

  private List<RequestRow> due() {
    List<RequestRow> due = new ArrayList<>();
    for (RequestRow request : context.tables.requestsByDeadline) {
      if (context.now().isBefore(request.deadline)) {
        break;
      }
      due.add(request);
    }
    return due;
  }
}
