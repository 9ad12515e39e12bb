package org.teaseldeal.gateway.flow;

import java.util.Map;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.Result;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;

/** How callers and backend servers say things in their headers; translates, decides nothing. */
public interface Dialect {
  /** Reads a caller's request. */
  Result<RoutedRequest> read(HttpExchange exchange);

  /** The caller's name for the attempt, for the log; empty if it gave none. */
  String requestId(HttpExchange exchange);

  /** Writes the request as one backend server is to be given it. */
  HttpCallRequest forward(RoutedRequest request, Handover handover);

  /** Whether an answer's head names {@code request}. */
  boolean isAnswerTo(RoutedRequest request, Map<String, String> headers);

  /** What an answer's head says. */
  AnswerVerdict verdict(int status, Map<String, String> headers);

  /** The headers of a backend server's answer that the caller gets. */
  Map<String, String> answerHeaders(Map<String, String> headers);

  /** Writes a refusal. */
  HttpAnswer refuse(Problem problem);
}
