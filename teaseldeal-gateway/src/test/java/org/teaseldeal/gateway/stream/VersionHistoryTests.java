package org.teaseldeal.gateway.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.stream.StreamFleet.Member;

/** Tests of the conclusion that a stream can have begun at one software version only. */
class VersionHistoryTests {
  private final StreamFleet fleet = new StreamFleet();
  private final Member member = fleet.start("instance-1");

  private static Optional<String> onlyVersion(Member member) {
    return member.origins.onlyVersion(StreamFleet.SERVICE);
  }

  @Test
  void onlyVersionIsTheOneOfAllServers() {
    member.list("a", "v1");
    member.list("b", "v1");
    assertEquals(Optional.of("v1"), onlyVersion(member));
  }

  /** A stream of a version whose servers have just left must not go on at the remaining one. */
  @Test
  void versionThatWasListedLatelyForbidsTheConclusion() {
    member.list("a", "v1");
    fleet.clock.advance(Duration.ofMinutes(1));
    member.list("b", "v2");
    member.unlist("a");
    assertEquals(Optional.empty(), onlyVersion(member));
    fleet.clock.advance(VersionHistory.LONGEST_STREAM);
    assertEquals(Optional.empty(), onlyVersion(member));
    fleet.clock.advance(Duration.ofMillis(1));
    assertEquals(Optional.of("v2"), onlyVersion(member));
  }

  /** All instances are killed right after the last server of a version has left. */
  @Test
  void restartedProcessKnowsTheVersionsOfItsPredecessors() {
    member.list("a", "v1");
    member.list("b", "v2");
    member.unlist("a");
    fleet.clock.advance(Duration.ofSeconds(10));
    Member restarted = fleet.start("instance-1");
    restarted.list("b", "v2");
    assertEquals(Optional.empty(), onlyVersion(restarted));
    fleet.clock.advance(Duration.ofSeconds(21));
    assertEquals(Optional.of("v2"), onlyVersion(restarted));
  }

  /** All instances of a fleet whose servers have had one version for long are killed. */
  @Test
  void restartedProcessConcludesAtOnceIfNoOtherVersionWasNoted() {
    member.list("a", "v1");
    fleet.clock.advance(Duration.ofMinutes(5));
    Member restarted = fleet.start("instance-1");
    restarted.list("a", "v1");
    assertEquals(Optional.of("v1"), onlyVersion(restarted));
  }

  /** The note of an instance that is gone names a version that others have seen leave since. */
  @Test
  void noteOfAGoneInstanceDoesNotForbidTheConclusionForever() {
    Member gone = fleet.start("instance-2");
    for (Member each : new Member[] {member, gone}) {
      each.list("a", "v1");
      each.list("b", "v2");
    }
    fleet.clock.advance(Duration.ofSeconds(1));
    member.unlist("a");
    fleet.clock.advance(Duration.ofMinutes(1));
    Member restarted = fleet.start("instance-1");
    restarted.list("b", "v2");
    assertEquals(Optional.of("v2"), onlyVersion(restarted));
  }

  /** Other instances may know of a version that this one can't see while the list is away. */
  @Test
  void othersAreAskedFirstWhileTheListIsNotCurrent() {
    Member other = fleet.start("instance-2");
    member.list("a", "v1");
    other.origins.onAnnounced(StreamFleet.stream(1), "v2");
    member.listIsCurrent = false;
    assertEquals(Optional.of("v2"), member.resolve(StreamFleet.stream(1)));
    assertEquals(Optional.of("v1"), member.resolve(StreamFleet.stream(2)));
  }
}
