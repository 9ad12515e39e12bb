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
    fleet.clock.advance(VersionHistory.LONGEST_STREAM);
    assertEquals(Optional.empty(), onlyVersion(restarted));
    fleet.clock.advance(Duration.ofMillis(1));
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
    fleet.runFor(Duration.ofMinutes(1), member);
    Member restarted = fleet.start("instance-1");
    restarted.list("b", "v2");
    assertEquals(Optional.of("v2"), onlyVersion(restarted));
    Member again = fleet.start("instance-1");
    again.list("b", "v2");
    assertEquals(Optional.of("v2"), onlyVersion(again));
  }

  /**
   * Guards against streams that are joined from two versions after all instances were killed, as
   * the time of day was set ahead and the notes look old.
   */
  @Test
  void doesNotConcludeAfterARestartWithATimeOfDayThatWasSetAhead() {
    member.list("a", "v1");
    member.list("b", "v2");
    member.unlist("a");
    fleet.clock.advance(Duration.ofSeconds(2));
    Member restarted = fleet.start("instance-1", Duration.ofMinutes(10));
    restarted.list("b", "v2");
    assertEquals(Optional.empty(), onlyVersion(restarted));
    fleet.clock.advance(Duration.ofSeconds(29));
    assertEquals(Optional.empty(), onlyVersion(restarted));
  }

  /** The same, as the only note that names the version is of a machine whose clock was late. */
  @Test
  void doesNotConcludeFromNotesOfAMachineWhoseTimeOfDayWasLate() {
    Member late = fleet.start("instance-2", Duration.ofMinutes(-10));
    member.list("a", "v1");
    late.list("a", "v1");
    fleet.clock.advance(Duration.ofMinutes(1));
    late.list("b", "v2");
    fleet.clock.advance(Duration.ofSeconds(2));
    Member restarted = fleet.start("instance-1");
    restarted.list("a", "v1");
    assertEquals(Optional.empty(), onlyVersion(restarted));
  }

  /**
   * Guards against streams that are joined from two versions, as a version that came back is noted
   * as gone by an instance that loads the earlier note of its leave.
   */
  @Test
  void doesNotConcludeWhileAVersionThatCameBackWasNotedAsGoneBefore() {
    member.list("a", "v1");
    member.list("b", "v2");
    member.unlist("a");
    fleet.runFor(Duration.ofMinutes(1), member);
    Member later = fleet.start("instance-2");
    later.list("b", "v2");
    later.listAndReload("c", "v1");
    Member restarted = fleet.start("instance-3");
    restarted.list("b", "v2");
    assertEquals(Optional.empty(), onlyVersion(restarted));
  }

  /**
   * Guards against streams that are joined from two versions for callers that name no attempt, at
   * an instance that is cut off from the list and from the others.
   */
  @Test
  void doesNotConcludeForUnnamedStreamsWhileItCantLearnOfOtherVersions() {
    member.list("a", "v1");
    member.listIsCurrent = false;
    assertEquals(Optional.of("v1"), onlyVersion(member));
    member.hearsPeers = false;
    assertEquals(Optional.empty(), onlyVersion(member));
  }

  /** The same, while it is cut off from the list only: the others tell it of the version. */
  @Test
  void learnsOfOtherVersionsFromTheOthersWhileTheListIsNotCurrent() {
    Member other = fleet.start("instance-2");
    member.list("a", "v1");
    other.list("a", "v1");
    member.listIsCurrent = false;
    other.list("b", "v2");
    assertEquals(Optional.empty(), onlyVersion(member));
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
