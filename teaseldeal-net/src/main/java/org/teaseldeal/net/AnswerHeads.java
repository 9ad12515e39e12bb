package org.teaseldeal.net;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** Checks of an answer's head beyond those of the decoder. */
final class AnswerHeads {
  private static final int FIRST_STATUS = 100;
  private static final int LAST_STATUS = 599;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d");

  private AnswerHeads() {}

  /**
   * Returns what makes a decoded head no answer of HTTP/1; empty if it is one.
   *
   * @param first whether the server has sent no other head on the connection
   */
  static Optional<String> violation(HttpResponse head, boolean first) {
    HttpVersion version = head.protocolVersion();
    if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
      return Optional.of("version " + version.text());
    }
    int status = head.status().code();
    if (status < FIRST_STATUS || status > LAST_STATUS) {
      return Optional.of("status " + status);
    }
    return !first && isJoined(head) ? Optional.of("two heads are joined") : Optional.empty();
  }

  /**
   * Returns whether the head contains a second status line: a server stopped inside a head and went
   * on with the next one. The first one's status would be taken for that of the second one's body.
   */
  private static boolean isJoined(HttpResponse head) {
    return containsStatusLine(head.status().reasonPhrase())
        || head.headers().entries().stream().anyMatch(AnswerHeads::containsStatusLine);
  }

  private static boolean containsStatusLine(Map.Entry<String, String> header) {
    return containsStatusLine(header.getKey()) || containsStatusLine(header.getValue());
  }

  private static boolean containsStatusLine(String text) {
    return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
  }
}
