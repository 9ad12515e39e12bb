package org.teaseldeal.standin.runtime;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** A request that a test sends without a network, and the answer to it. */
public final class FakeExchange implements HttpExchange, ResponseStream {
  private final String method;
  private final String path;
  private final byte[] body;
  private final Map<String, String> headers = new HashMap<>();
  private final StringBuilder answer = new StringBuilder();
  private int status;
  private Map<String, String> answerHeaders = Map.of();
  private boolean ended;
  private boolean aborted;
  private Runnable callerDisconnectAction = () -> {};

  public FakeExchange(String method, String path, String body) {
    this.method = method;
    this.path = path;
    this.body = body.getBytes(StandardCharsets.UTF_8);
  }

  public static FakeExchange get(String path) {
    return new FakeExchange("GET", path, "");
  }

  public FakeExchange withHeader(String header, String value) {
    headers.put(header, value);
    return this;
  }

  /** Returns the status of the answer, or 0 if there is none yet. */
  public int status() {
    return status;
  }

  /** Returns the attempt that the answer names, or nothing. */
  public Optional<String> answeredAttempt() {
    return Optional.ofNullable(answerHeaders.get("Attempt-Id"));
  }

  public String text() {
    return answer.toString();
  }

  public ObjectNode json() {
    return Json.readObject(text().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the JSON of each server-sent event except the closing one. */
  public List<ObjectNode> events() {
    List<ObjectNode> events = new ArrayList<>();
    for (String event : text().split("\n\n", -1)) {
      if (event.startsWith("data: {")) {
        events.add(Json.readObject(event.substring(6).getBytes(StandardCharsets.UTF_8)));
      }
    }
    return events;
  }

  /** Returns the concatenated text of all frames, in the order of arrival. */
  public String content() {
    StringBuilder content = new StringBuilder();
    for (ObjectNode event : events()) {
      content.append(event.at("/choices/0/delta/content").asText(""));
    }
    return content.toString();
  }

  /** Returns whether the answer was completed rather than broken off. */
  public boolean finished() {
    return ended;
  }

  public boolean aborted() {
    return aborted;
  }

  public void disconnectCaller() {
    callerDisconnectAction.run();
  }

  @Override
  public String method() {
    return method;
  }

  @Override
  public String path() {
    return path;
  }

  @Override
  public List<Map.Entry<String, String>> headers() {
    return List.copyOf(headers.entrySet());
  }

  @Override
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  @Override
  public byte[] body() {
    return body;
  }

  @Override
  public Duration timeSinceHead() {
    return Duration.ZERO;
  }

  @Override
  public String remoteAddress() {
    return "127.0.0.1";
  }

  @Override
  public void respond(int answerStatus, Map<String, String> head, byte[] answerBody) {
    startStream(answerStatus, head).write(answerBody);
    ended = true;
  }

  @Override
  public ResponseStream startStream(int answerStatus, Map<String, String> head) {
    if (status != 0 || aborted) {
      throw new IllegalStateException("the exchange was answered twice");
    }
    status = answerStatus;
    answerHeaders = head;
    return this;
  }

  @Override
  public void onCallerDisconnect(Runnable action) {
    callerDisconnectAction = action;
  }

  @Override
  public void write(byte[] part) {
    answer.append(new String(part, StandardCharsets.UTF_8));
  }

  @Override
  public long pendingBytes() {
    return 0;
  }

  @Override
  public void finish() {
    ended = true;
  }

  @Override
  public void abort() {
    aborted = true;
  }
}
