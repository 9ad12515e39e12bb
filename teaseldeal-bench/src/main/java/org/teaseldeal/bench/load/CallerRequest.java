package org.teaseldeal.bench.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.teaseldeal.bench.scenario.Flow;
import org.teaseldeal.net.HttpCallRequest;

/**
 * The HTTP request that a caller sends for one arrival.
 *
 * @param prompt the prompt or body. It differs for each arrival, so that an answer can be
 *     attributed to its request
 * @param http the request with its headers
 */
record CallerRequest(String prompt, HttpCallRequest http) {
  private static final ObjectMapper JSON = new ObjectMapper();

  static CallerRequest of(Arrival arrival, String run, String address) {
    Flow flow = arrival.flow();
    String prompt = prompt(arrival, run);
    Map<String, String> headers = new HashMap<>();
    headers.put("Authorization", "Bearer " + flow.token());
    headers.put("Content-Type", "application/json");
    headers.put("Request-Timeout-Ms", Long.toString(flow.timeout().toMillis()));
    if (flow.keyed()) {
      headers.put("Idempotency-Key", "%s-%s-%d".formatted(run, flow.name(), arrival.number()));
    }
    String path =
        flow.kind() == Flow.Kind.MODEL
            ? "/v1/chat/completions"
            : "/services/%s/call".formatted(flow.service());
    byte[] body =
        flow.kind() == Flow.Kind.MODEL
            ? chat(flow, prompt)
            : prompt.getBytes(StandardCharsets.UTF_8);
    return new CallerRequest(
        prompt,
        new HttpCallRequest(address, "POST", path, headers, body, AnswerListener.maxWait(flow)));
  }

  private static String prompt(Arrival arrival, String run) {
    Flow flow = arrival.flow();
    StringBuilder prompt = new StringBuilder();
    for (int i = 0; i < flow.prefixWords(); i++) {
      prompt.append(flow.name()).append(i % 97).append(' ');
    }
    prompt.append(run).append(' ').append(flow.name()).append(' ').append(arrival.number());
    for (int i = 0; i < flow.promptWords(); i++) {
      prompt.append(" w").append((arrival.number() * 31 + i) % 9973);
    }
    return prompt.toString();
  }

  private static byte[] chat(Flow flow, String prompt) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", flow.service().toString());
    body.put("stream", flow.stream());
    body.put("max_tokens", flow.outputTokens());
    body.put("x_output_tokens", flow.outputTokens());
    body.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }
}
