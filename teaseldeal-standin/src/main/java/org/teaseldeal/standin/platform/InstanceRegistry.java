package org.teaseldeal.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseldeal.standin.runtime.LaggedValue;

/**
 * The registered instances, and past versions of their list so that it can be read with a lag.
 *
 * <p>An instance whose registration isn't renewed in time is removed, as if it had crashed. The
 * state {@code leaving} holds for the rest of an incarnation: a renewal that was sent before the
 * instance began to leave and arrives afterwards doesn't reset the state to live.
 */
final class InstanceRegistry {
  private static final Duration MAX_LAG = Duration.ofHours(2);

  private final InstantSource clock;
  private final Duration expiry;
  private final Map<String, Registration> registrations = new TreeMap<>();
  private final LaggedValue<List<RegisteredInstance>> listVersions =
      new LaggedValue<>(MAX_LAG, List.of());

  InstanceRegistry(InstantSource clock, Duration expiry) {
    this.clock = clock;
    this.expiry = expiry;
  }

  /** Registers an instance or renews its registration. */
  void put(RegisteredInstance instance) {
    removeExpired(clock.instant());
    Registration old = registrations.get(instance.id());
    RegisteredInstance current = old == null ? instance : retainLeaving(old.instance, instance);
    registrations.put(instance.id(), new Registration(current, clock.instant()));
    if (old == null || !old.instance.equals(current)) {
      recordVersion(clock.instant());
    }
  }

  /** Removes an instance; returns false if it wasn't registered. */
  boolean remove(String id) {
    removeExpired(clock.instant());
    if (registrations.remove(id) == null) {
      return false;
    }
    recordVersion(clock.instant());
    return true;
  }

  /** Returns the list as of {@code lag} ago. */
  Version list(Duration lag) {
    removeExpired(clock.instant());
    Instant asOf = clock.instant().minus(lag);
    return new Version(asOf, listVersions.at(asOf));
  }

  private static RegisteredInstance retainLeaving(
      RegisteredInstance old, RegisteredInstance renewed) {
    boolean sameIncarnation = old.incarnation().equals(renewed.incarnation());
    return sameIncarnation && old.leaving() ? renewed.asLeaving() : renewed;
  }

  private void removeExpired(Instant now) {
    while (true) {
      Optional<Registration> oldest =
          registrations.values().stream()
              .min(Comparator.comparing((Registration registration) -> registration.renewedAt));
      if (oldest.isEmpty() || oldest.get().renewedAt.plus(expiry).isAfter(now)) {
        return;
      }
      registrations.remove(oldest.get().instance.id());
      recordVersion(oldest.get().renewedAt.plus(expiry));
    }
  }

  private void recordVersion(Instant at) {
    listVersions.set(at, registrations.values().stream().map(Registration::instance).toList());
  }

  private record Registration(RegisteredInstance instance, Instant renewedAt) {}

  /** The list as of the time {@code asOf}. */
  record Version(Instant asOf, List<RegisteredInstance> instances) {
    Version {
      instances = List.copyOf(instances);
    }
  }
}
