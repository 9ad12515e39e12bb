package org.teaseldeal.standin.fault;

import java.util.Optional;
import org.teaseldeal.net.AnswerFraming;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/** Frames the answers of a handler, and breaks off some of them, as the fault settings say. */
public final class FaultyAnswers implements HttpHandler {
  private final HttpHandler handler;
  private final ActiveFaults<?> faults;
  private final BreakOffListener listener;

  /** Receives an event for each answer that is broken off. */
  @FunctionalInterface
  public interface BreakOffListener {
    /**
     * Called after the last byte of the answer was sent.
     *
     * @param request the id of the request; empty if it has none
     * @param bytes the number of bytes sent
     * @param reset whether the connection was reset instead of closed
     */
    void onBrokenOff(String request, AnswerFraming framing, int bytes, boolean reset);
  }

  public FaultyAnswers(HttpHandler handler, ActiveFaults<?> faults, BreakOffListener listener) {
    this.handler = handler;
    this.faults = faults;
    this.listener = listener;
  }

  @Override
  public void handle(HttpExchange exchange) {
    handler.handle(faulty(exchange).orElse(exchange));
  }

  private Optional<HttpExchange> faulty(HttpExchange exchange) {
    AnswerFaults current = faults.current().answers();
    Optional<AnswerFraming> chosen = current.framing().choose(faults::draw);
    boolean brokenOff = faults.shouldInject(current.brokenOffShare());
    if (chosen.isEmpty() && !brokenOff) {
      return Optional.empty();
    }
    FramingExchange.End end =
        brokenOff
            ? new FramingExchange.End(
                faults.draw(current.brokenOffWithinBytes()),
                faults.shouldInject(current.brokenOffResetShare()))
            : FramingExchange.End.COMPLETE;
    return Optional.of(new FramingExchange(exchange, chosen, end, listener));
  }
}
