package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Engines of unlike speed, whose memory holds fewer requests than they have places. */
class ModelEngineTests {
  private static final long MEMORY_TOKENS = 1_000;
  private static final Duration END = Duration.ofSeconds(60);

  private final VirtualTime time = new VirtualTime();
  private final TokenMeter meter = new TokenMeter();
  private final List<Long> finished = new ArrayList<>();

  @Test
  void aThirdOfTheEnginesHasEachSpeed() {
    Scenario.Speeds speeds = new Scenario.Speeds(0.5, 2);
    assertEquals(0.5, speeds.of(0), 1e-9);
    assertEquals(1, speeds.of(1), 1e-9);
    assertEquals(2, speeds.of(2), 1e-9);
    assertEquals(0.5, speeds.of(3), 1e-9);
  }

  @Test
  void anEngineOfTwiceTheSpeedTakesHalfOfTheTime() {
    assertEquals(timeToFinish(1) / 2.0, timeToFinish(2), 1);
  }

  /** Guards against a request that is set back for want of memory and never finished. */
  @Test
  void finishesARequestThatWasSetBackForWantOfMemory() {
    ModelEngine engine = engine(1);
    run(engine, 1, 300, 400);
    run(engine, 2, 300, 400);
    time.runUntil(END);
    assertEquals(List.of(1L, 2L), finished);
    assertEquals(2 * (300 + 400), meter.tokensOf("customer"));
  }

  /** Guards against a silent engine that loses its requests or sends while it is silent. */
  @Test
  void goesOnAfterASilence() {
    ModelEngine engine = engine(1);
    run(engine, 1, 100, 10);
    engine.fallSilent(Duration.ofMillis(1_200));
    time.runUntil(Duration.ofMillis(1_199));
    assertEquals(List.of(), finished);
    time.runUntil(END);
    assertEquals(List.of(1L), finished);
    assertEquals(100 + 10, meter.tokensOf("customer"));
  }

  private long timeToFinish(double speed) {
    VirtualTime start = new VirtualTime();
    List<Long> ends = new ArrayList<>();
    ModelEngine engine =
        new ModelEngine("engine", start, settings(), speed, meter, (e, part) -> {});
    engine.run(request(1, 300, 100), 0, new EndListener(() -> ends.add(start.elapsedNanos())));
    start.runUntil(END);
    return ends.getFirst();
  }

  private ModelEngine engine(double speed) {
    return new ModelEngine("engine", time, settings(), speed, meter, (e, part) -> {});
  }

  private void run(ModelEngine engine, long number, long input, long output) {
    engine.run(request(number, input, output), 0, new EndListener(() -> finished.add(number)));
  }

  private static Scenario.Engines settings() {
    return new Scenario.Engines(
        1,
        8,
        Duration.ofMillis(4),
        Duration.ZERO,
        100,
        2_048,
        10_000,
        1,
        1,
        new Scenario.Speeds(1, 1),
        MEMORY_TOKENS);
  }

  private static ModelRequest request(long number, long input, long output) {
    Scenario.Kind kind =
        new Scenario.Kind(
            "draft",
            Scenario.Answer.STREAM,
            1,
            Duration.ofMillis(400),
            Duration.ofMillis(300),
            Duration.ofSeconds(10),
            1,
            0,
            1,
            0,
            (int) input,
            (int) output,
            false);
    return new ModelRequest(
        number, kind, "customer", List.of(), input, output, 0, Optional.empty());
  }

  private record EndListener(Runnable action) implements ModelServer.Listener {
    @Override
    public void onBodyPart() {}

    @Override
    public void onEnd() {
      action.run();
    }

    @Override
    public void onQueueFull() {}

    @Override
    public void onCrash() {}
  }
}
