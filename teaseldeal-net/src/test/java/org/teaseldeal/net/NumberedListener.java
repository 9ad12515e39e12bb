package org.teaseldeal.net;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Matches answers by the number of their request. */
final class NumberedListener extends RecordingListener {
  static final String NO_OUTCOME = "no outcome";

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final int number;

  NumberedListener(LinkedBlockingQueue<String> recorded, int number) {
    super(recorded);
    this.number = number;
  }

  @Override
  public String callName() {
    return Integer.toString(number);
  }

  @Override
  public AnswerMatch match(int status, Map<String, String> headers) {
    return AnswerMatch.of(headers.get("request"), Integer.toString(number));
  }

  /**
   * Sends a call with a number and returns what the client reports, up to the end of the call;
   * {@link #NO_OUTCOME} at the end if it doesn't end.
   */
  static String call(HttpClient client, ScriptedServer server, String method, int number)
      throws InterruptedException {
    LinkedBlockingQueue<String> recorded = new LinkedBlockingQueue<>();
    client.send(
        new HttpCallRequest(
            IpAddresses.format(server.address()),
            method,
            "/answer",
            Map.of("request", Integer.toString(number)),
            new byte[0],
            TIMEOUT),
        new NumberedListener(recorded, number));
    List<String> events = new ArrayList<>();
    do {
      String event = recorded.poll(2 * TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      events.add(event == null ? NO_OUTCOME : event);
    } while (events.getLast().startsWith("head") || events.getLast().startsWith("part"));
    return String.join(", ", events);
  }
}
