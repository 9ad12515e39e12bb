package org.teaseldeal.router.fake;

import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.core.part.PlacementChoice;
import org.teaseldeal.core.part.QueueChoice;
import org.teaseldeal.router.settings.ListenSettings;
import org.teaseldeal.router.settings.RouterLimits;
import org.teaseldeal.router.settings.RouterSettings;

/** Settings of routers under test, with small limits and ports chosen by the operating system. */
public final class RouterFixture {
  public static final RouterLimits LIMITS =
      new RouterLimits(
          2048,
          1024,
          50,
          Duration.ofMillis(500),
          Duration.ofMinutes(1),
          Duration.ofMillis(300),
          Duration.ofSeconds(10),
          64 << 10,
          4096);

  private RouterFixture() {}

  public static RouterSettings settings(String platform, Optional<String> adminCredential) {
    ListenSettings loopback = new ListenSettings("127.0.0.1", 0, Optional.empty());
    return new RouterSettings(
        new InstanceId("r1"),
        new DataCentre("hal-nord"),
        platform,
        1,
        Duration.ofMillis(5),
        loopback,
        loopback,
        loopback,
        adminCredential,
        LIMITS,
        PlacementChoice.TWO_CHOICES,
        QueueChoice.FAIR);
  }
}
