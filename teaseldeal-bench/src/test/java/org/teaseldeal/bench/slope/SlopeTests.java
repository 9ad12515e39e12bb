package org.teaseldeal.bench.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseldeal.bench.slope.Slope.Point;

class SlopeTests {
  private static final double TOLERANCE = 1e-9;

  @Test
  void lineThroughItsPointsHasNoSpread() {
    Slope slope =
        Slope.fit("octets", "budget", List.of(new Point(1, 7), new Point(2, 9), new Point(5, 15)));

    assertEquals(2, slope.slope(), TOLERANCE);
    assertEquals(5, slope.intercept(), TOLERANCE);
    assertEquals(2, slope.least(), TOLERANCE);
    assertEquals(2, slope.most(), TOLERANCE);
  }

  @Test
  void spreadIsTheGrowthBetweenNeighbours() {
    Slope slope =
        Slope.fit("octets", "budget", List.of(new Point(0, 0), new Point(1, 1), new Point(2, 4)));

    assertEquals(2, slope.slope(), TOLERANCE);
    assertEquals(1, slope.least(), TOLERANCE);
    assertEquals(3, slope.most(), TOLERANCE);
  }

  @Test
  void refusesASinglePoint() {
    List<Point> one = List.of(new Point(1, 1));

    assertThrows(IllegalArgumentException.class, () -> Slope.fit("octets", "budget", one));
  }

  @Test
  void simulatedInstanceServesItsCallsAndChargesThem() {
    SimulatedInstance instance = new SimulatedInstance(3, 2);
    instance.run(Duration.ofSeconds(5));
    assertTrue(instance.ready());

    instance.sendCall();
    instance.run(Duration.ofSeconds(1));
    assertEquals(1, instance.openStreams());
    instance.sendFrames();
    instance.step();
    instance.finishStreams();
    instance.run(Duration.ofSeconds(1));

    assertEquals(0, instance.openStreams());
    assertTrue(instance.backupBytes() > 0);
  }
}
