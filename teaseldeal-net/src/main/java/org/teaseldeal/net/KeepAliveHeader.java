package org.teaseldeal.net;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** What a server says in {@code Keep-Alive} of how long it keeps an idle connection. */
final class KeepAliveHeader {
  private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  /**
   * The part of the server's time that a connection is reused in. A request sent just as the server
   * closes gets no answer and may not be sent again if it isn't idempotent; half the time leaves
   * whole seconds for clocks and delays to differ.
   */
  private static final int SAFE_PART = 2;

  private KeepAliveHeader() {}

  /** The timeout that the server names, if it names one. */
  static @Nullable Duration timeout(Map<String, String> headers) {
    String value = headers.get("keep-alive");
    if (value == null) {
      return null;
    }
    Matcher matcher = TIMEOUT.matcher(value);
    return matcher.find() ? Duration.ofSeconds(Long.parseLong(matcher.group(1))) : null;
  }

  /** How long an idle connection may be reused. */
  static Duration safeIdleTime(Duration serverTimeout) {
    return serverTimeout.dividedBy(SAFE_PART);
  }
}
