package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.Result;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;

/**
 * Translates between the gateway's requests and the HTTP headers that callers and backend servers
 * use. It makes no decisions.
 */
public interface Dialect {
  /** Parses a caller's request. */
  Result<CallerRequest> read(HttpExchange exchange);

  /** The caller's identifier of the attempt, for the log; empty if it gave none. */
  String requestId(HttpExchange exchange);

  /** How long the caller waits for its answer; empty if it didn't say so in a readable form. */
  Optional<Duration> callerTimeout(HttpExchange exchange);

  /** Creates the request that is sent to a backend server. */
  HttpCallRequest forward(CallerRequest request, ForwardingTerms terms);

  /** Returns how an answer relates to the request {@code id} in whose place it arrived. */
  AnswerMatch match(String id, Map<String, String> headers);

  /** The id of the request that an answer names, for the log; empty if it names none. */
  String answeredRequest(Map<String, String> headers);

  /** The backend server's signature of its answer, for the log; empty if it has none. */
  String signature(Map<String, String> headers);

  /** Interprets the status and headers of an answer. */
  AnswerVerdict verdict(int status, Map<String, String> headers);

  /** The headers of a backend server's answer that are passed on to the caller. */
  Map<String, String> answerHeaders(Map<String, String> headers);

  /** Creates the answer that refuses a request. */
  HttpAnswer refuse(Problem problem);
}
