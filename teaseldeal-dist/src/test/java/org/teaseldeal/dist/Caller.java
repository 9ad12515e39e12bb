package org.teaseldeal.dist;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.bench.load.AnswerCheck;
import org.teaseldeal.dist.Answer.End;

/** A caller of the fleet's two services that checks its answers part by part. */
final class Caller implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final String DATA = "data: ";

  private final HttpClient client = HttpClient.newHttpClient();

  /**
   * Requests a streamed draft of {@code tokens} tokens and runs {@code onFrame} after each frame.
   */
  Answer draft(String router, Optional<String> key, String prompt, int tokens, Runnable onFrame)
      throws InterruptedException {
    String body =
        """
        {"model":"%s","stream":true,"max_tokens":%d,"x_output_tokens":%d,\
        "messages":[{"role":"user","content":"%s"}]}"""
            .formatted(Fleet.DRAFTS, tokens, tokens, prompt);
    return send(
        request(router, "/v1/chat/completions", key, body),
        answer -> readStream(answer, new AnswerCheck(prompt), tokens, onFrame));
  }

  Answer draft(String router, Optional<String> key, String prompt, int tokens)
      throws InterruptedException {
    return draft(router, key, prompt, tokens, () -> {});
  }

  /** Places a bid, which must run at most once. */
  Answer bid(String router, String key, String body) throws InterruptedException {
    return send(
        request(router, "/services/%s/bids".formatted(Fleet.BIDS), Optional.of(key), body),
        answer -> readPlain(answer, body));
  }

  @Override
  public void close() {
    client.shutdownNow();
    client.close();
  }

  private static HttpRequest request(
      String router, String path, Optional<String> key, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + router + path))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + Fleet.TOKEN)
            .POST(BodyPublishers.ofString(body));
    key.ifPresent(value -> request.header("Idempotency-Key", value));
    return request.build();
  }

  private Answer send(HttpRequest request, AnswerReader reader) throws InterruptedException {
    String requestId = "";
    try {
      HttpResponse<InputStream> answer = client.send(request, BodyHandlers.ofInputStream());
      requestId = answer.headers().firstValue("Request-Id").orElse("");
      if (answer.statusCode() != 200) {
        return new Answer(End.PROBLEM, answer.statusCode(), requestId, text(answer));
      }
      return reader.read(answer);
    } catch (ConnectException e) {
      return new Answer(End.NOT_SENT, 0, requestId, e.toString());
    } catch (IOException | UncheckedIOException e) {
      return new Answer(End.BROKEN, 0, requestId, e.toString());
    }
  }

  private static Answer readStream(
      HttpResponse<InputStream> answer, AnswerCheck check, int tokens, Runnable onFrame)
      throws IOException {
    boolean done = false;
    String error = "";
    boolean inError = false;
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(answer.body(), StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      inError |= line.equals("event: error");
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length());
      if (inError) {
        error = data;
        break;
      } else if (data.equals("[DONE]")) {
        done = true;
      } else {
        check.onChunk(data);
        onFrame.run();
      }
    }
    return streamAnswer(answer, done, error, check.problem(tokens), check);
  }

  private static Answer streamAnswer(
      HttpResponse<InputStream> answer,
      boolean done,
      String error,
      Optional<String> fault,
      AnswerCheck check) {
    String id = answer.headers().firstValue("Request-Id").orElse("");
    if (!done) {
      // The frames before the break must still belong to this request and be in order.
      Optional<String> wrong = check.problem(check.frames());
      return new Answer(wrong.isPresent() ? End.WRONG : End.BROKEN, 200, id, wrong.orElse(error));
    }
    return new Answer(fault.isPresent() ? End.WRONG : End.COMPLETE, 200, id, fault.orElse(""));
  }

  private static Answer readPlain(HttpResponse<InputStream> answer, String body)
      throws IOException {
    String id = answer.headers().firstValue("Request-Id").orElse("");
    String text = text(answer);
    boolean own = text.contains("\"body\":\"%s\"".formatted(body));
    return new Answer(own ? End.COMPLETE : End.WRONG, 200, id, text);
  }

  private static String text(HttpResponse<InputStream> answer) throws IOException {
    return new String(answer.body().readAllBytes(), StandardCharsets.UTF_8);
  }

  private interface AnswerReader {
    Answer read(HttpResponse<InputStream> answer) throws IOException;
  }
}
