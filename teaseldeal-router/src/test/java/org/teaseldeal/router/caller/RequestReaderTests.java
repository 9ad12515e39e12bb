package org.teaseldeal.router.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.Result;
import org.teaseldeal.router.fake.FakeExchange;

class RequestReaderTests {
  @Test
  void countsTheTimeoutFromTheRequestHead() {
    // Guards against an answer that arrives after the caller has given up. The caller waits 1500 ms
    // from the moment when it sent the head of its request, so the time in which its body arrived
    // counts against the timeout.
    assertEquals(Duration.ofMillis(1500), timeout("1500", Duration.ZERO));
    assertEquals(Duration.ofMillis(1300), timeout("1500", Duration.ofMillis(200)));
    assertEquals(Duration.ofMillis(1), timeout("1500", Duration.ofMillis(1500)));
  }

  private static Duration timeout(String header, Duration timeSinceHead) {
    FakeExchange exchange =
        new FakeExchange(
            "GET", "/services/team/desk", Map.of("Request-Timeout-Ms", header), "", timeSinceHead);
    Result.Ok<ParsedRequest> read = assertInstanceOf(Result.Ok.class, RequestReader.read(exchange));
    Optional<Duration> timeout = read.value().timeout();
    return timeout.orElseThrow();
  }
}
