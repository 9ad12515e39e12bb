package org.teaseldeal.net;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Reads the {@code Keep-Alive} header, in which a server states how long it keeps an idle
 * connection.
 */
final class KeepAliveHeader {
  private static final Pattern TIMEOUT_PATTERN = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  /**
   * Divisor of the server's timeout, giving the time within which a connection is reused. A request
   * sent just as the server closes the connection gets no answer, and must not be sent again if it
   * is not idempotent. Half of the timeout leaves whole seconds for clock differences and delays.
   */
  private static final int SAFETY_DIVISOR = 2;

  private KeepAliveHeader() {}

  /** Returns the timeout that the server states, or null if it states none. */
  static @Nullable Duration parseTimeout(Map<String, String> headers) {
    String value = headers.get("keep-alive");
    if (value == null) {
      return null;
    }
    Matcher matcher = TIMEOUT_PATTERN.matcher(value);
    return matcher.find() ? Duration.ofSeconds(Long.parseLong(matcher.group(1))) : null;
  }

  /** Returns how long an idle connection may be reused. */
  static Duration safeIdleTime(Duration serverTimeout) {
    return serverTimeout.dividedBy(SAFETY_DIVISOR);
  }
}
