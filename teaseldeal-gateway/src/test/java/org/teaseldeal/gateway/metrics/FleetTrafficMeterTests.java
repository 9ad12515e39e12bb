package org.teaseldeal.gateway.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeSharedLog;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.KeyedRecord;
import org.teaseldeal.gateway.log.SharedLog;

class FleetTrafficMeterTests {
  private static final Duration PERIOD = Duration.ofSeconds(5);

  private final ManualClock clock = new ManualClock();
  private final List<GatewayEvent> events = new ArrayList<>();
  private final FleetTrafficMeter meter = new FleetTrafficMeter(events::add, clock);
  private final FakeSharedLog.Port port = new FakeSharedLog().port("writer");

  @Test
  void reportsTheTrafficOfEachPeriod() {
    SharedLog log = meter.meteredLog(port);
    append(log, 0, Duration.ofMillis(10));
    append(log, 1, Duration.ofMillis(30));
    log.read(0, outcome -> {});
    port.answerCalls();
    meter.meteredTransport((address, message) -> {}).send("10.0.0.1:7000", new byte[100]);
    meter.meteredReceiver(message -> {}).accept(new byte[60]);
    meter.tick(Duration.ofMillis(7));
    meter.tick(Duration.ofMillis(3));
    assertTrue(events.isEmpty());

    clock.advance(PERIOD);
    meter.tick(Duration.ZERO);
    clock.advance(PERIOD);
    meter.tick(Duration.ZERO);

    GatewayEvent.FleetTraffic first =
        new GatewayEvent.FleetTraffic(
            2,
            2,
            Duration.ofMillis(20),
            Duration.ofMillis(30),
            1,
            2,
            1,
            100,
            1,
            60,
            Duration.ofMillis(7));
    GatewayEvent.FleetTraffic second =
        new GatewayEvent.FleetTraffic(
            0, 0, Duration.ZERO, Duration.ZERO, 0, 0, 0, 0, 0, 0, Duration.ZERO);
    assertEquals(List.of(first, second), events);
  }

  private void append(SharedLog log, long sequence, Duration duration) {
    byte[] value = "note".getBytes(StandardCharsets.UTF_8);
    log.append(1, sequence, List.of(new KeyedRecord("key", value)), outcome -> {});
    clock.advance(duration);
    port.answerCalls();
  }
}
