package org.teaseldeal.net;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** Creates the answer to a request that was rejected before it reached the handler. */
@FunctionalInterface
public interface HttpRejectionAnswer {
  /** Returns the answer; called on the connection's event loop. */
  HttpAnswer answer(HttpRejection rejection);

  /** Returns plain-text answers with the rejection's default status and its name. */
  static HttpRejectionAnswer plainText() {
    return rejection ->
        new HttpAnswer(
            rejection.status(),
            Map.of("content-type", "text/plain; charset=utf-8"),
            (rejection.name().toLowerCase(Locale.ROOT).replace('_', '-') + "\n")
                .getBytes(StandardCharsets.UTF_8));
  }
}
