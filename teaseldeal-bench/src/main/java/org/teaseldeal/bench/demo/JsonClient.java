package org.teaseldeal.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;

/** An HTTP client for the JSON interfaces of the platform and of the stand-ins' admin addresses. */
public final class JsonClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client;

  /** Creates a JSON client that sends its requests with {@code client}. */
  public JsonClient(HttpClient client) {
    this.client = client;
  }

  /** Returns the JSON at {@code path}. */
  public JsonNode json(String address, String path) throws DemoException, InterruptedException {
    return parse(get(address, path).text());
  }

  List<JsonNode> jsonLines(String address, String path) throws DemoException, InterruptedException {
    List<JsonNode> lines = new ArrayList<>();
    for (String line : get(address, path).text().lines().toList()) {
      lines.add(parse(line));
    }
    return lines;
  }

  static JsonNode parse(String text) throws DemoException {
    try {
      return JSON.readTree(text);
    } catch (IOException e) {
      throw new DemoException("the answer is not JSON: " + text);
    }
  }

  /** Puts {@code json} to {@code path}. Throws unless the answer's status is 200. */
  void put(String address, String path, String json) throws DemoException, InterruptedException {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = Map.of("Content-Type", "application/json");
    try {
      HttpAnswer answer =
          client.fetch(new HttpCallRequest(address, "PUT", path, headers, body, TIMEOUT)).get();
      if (answer.status() != 200) {
        throw new DemoException(
            "PUT %s%s answered %d: %s".formatted(address, path, answer.status(), answer.text()));
      }
    } catch (ExecutionException e) {
      throw new DemoException("PUT %s%s: %s".formatted(address, path, e.getCause()));
    }
  }

  /** Returns the status of the answer, or 0 if there is none. */
  public int status(String address, String path) throws InterruptedException {
    try {
      return fetch(address, path).status();
    } catch (ExecutionException e) {
      return 0;
    }
  }

  private HttpAnswer get(String address, String path) throws DemoException, InterruptedException {
    try {
      HttpAnswer answer = fetch(address, path);
      if (answer.status() != 200) {
        throw new DemoException(
            "%s%s answered %d: %s".formatted(address, path, answer.status(), answer.text()));
      }
      return answer;
    } catch (ExecutionException e) {
      throw new DemoException("%s%s: %s".formatted(address, path, e.getCause()));
    }
  }

  private HttpAnswer fetch(String address, String path)
      throws InterruptedException, ExecutionException {
    return client
        .fetch(new HttpCallRequest(address, "GET", path, Map.of(), new byte[0], TIMEOUT))
        .get();
  }
}
