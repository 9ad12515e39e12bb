package org.teaseldeal.standin.platform;

import java.time.InstantSource;
import java.util.Map;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.TokenBucket;

/**
 * Serves weights of a configured size under any name, with a rate limit in bytes per second that
 * all readers share.
 */
final class WeightStore {
  private final byte[] content;
  private final TokenBucket rate;
  private final ActiveFaults<PlatformFaults> faults;

  WeightStore(
      InstantSource clock, PlatformSettings.Weights settings, ActiveFaults<PlatformFaults> faults) {
    this.content = new byte[settings.bytes()];
    this.rate =
        new TokenBucket(
            clock,
            settings.bytesPerSecond(),
            Math.max(settings.bytesPerSecond(), settings.bytes()));
    this.faults = faults;
  }

  void get(HttpExchange exchange) {
    if (faults.current().weightsOutage()) {
      Json.respondError(exchange, 503, "the weight store is down");
      return;
    }
    if (!rate.tryTake(content.length)) {
      long millis = rate.timeUntilAvailable(content.length).toMillis();
      exchange.respond(
          429,
          Map.of("Retry-After", String.valueOf(Math.max(1, Math.ceilDiv(millis, 1_000)))),
          new byte[0]);
      return;
    }
    exchange.respond(200, Map.of("Content-Type", "application/octet-stream"), content);
  }
}
