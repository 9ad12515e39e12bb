package org.teaseldeal.router.fake;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** A request without a connection; it can be read but not answered. */
public record FakeExchange(
    String method,
    String path,
    Map<String, String> headersByName,
    String text,
    Duration timeSinceHead)
    implements HttpExchange {
  @Override
  public List<Map.Entry<String, String>> headers() {
    return List.copyOf(headersByName.entrySet());
  }

  @Override
  public Optional<String> header(String name) {
    return Optional.ofNullable(headersByName.get(name));
  }

  @Override
  public byte[] body() {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public String remoteAddress() {
    return "127.0.0.1";
  }

  @Override
  public void respond(int status, Map<String, String> answerHeaders, byte[] answer) {
    throw new UnsupportedOperationException("respond");
  }

  @Override
  public ResponseStream startStream(int status, Map<String, String> answerHeaders) {
    throw new UnsupportedOperationException("startStream");
  }

  @Override
  public void abort() {
    throw new UnsupportedOperationException("abort");
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    throw new UnsupportedOperationException("onCallerDisconnect");
  }
}
