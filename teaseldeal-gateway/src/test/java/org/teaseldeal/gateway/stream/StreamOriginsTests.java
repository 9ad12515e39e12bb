package org.teaseldeal.gateway.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.stream.StreamFleet.Member;

/** Tests of who knows at which software version a stream began. */
class StreamOriginsTests {
  private static final int STREAMS = 200;

  private final StreamFleet fleet = new StreamFleet();

  /** Starts instances before servers of two versions. */
  private void start(int instances) {
    for (int i = 0; i < instances; i++) {
      Member member = fleet.start(StreamFleet.name(i));
      member.list("a", "v1");
      member.list("b", "v2");
    }
  }

  private void begin(int instances) {
    for (int i = 0; i < STREAMS; i++) {
      fleet.member(StreamFleet.name(i % instances)).origins.onBegun(StreamFleet.stream(i), "v1");
    }
  }

  /** The streams whose version a running instance other than their first one can determine. */
  private long known(int instances) {
    long known = 0;
    for (int i = 0; i < STREAMS; i++) {
      int asked = (i + 1) % instances;
      while (fleet.down.contains(StreamFleet.name(asked))) {
        asked = (asked + 1) % instances;
      }
      Optional<String> version =
          fleet.member(StreamFleet.name(asked)).resolve(StreamFleet.stream(i));
      assertTrue(version.isEmpty() || version.get().equals("v1"), "was " + version);
      known += version.isPresent() ? 1 : 0;
    }
    return known;
  }

  /** An instance is killed; the callers of all its streams come to the others. */
  @ParameterizedTest
  @ValueSource(ints = {2, 7, 95})
  void versionsOutliveTheInstanceThatBeganTheStreams(int instances) {
    start(instances);
    begin(instances);
    fleet.down.add(StreamFleet.name(0));
    assertEquals(STREAMS, known(instances));
  }

  /** A third of the instances is killed at once, and one in five messages is lost. */
  @ParameterizedTest
  @ValueSource(ints = {7, 95})
  void mostVersionsOutliveAThirdOfTheInstances(int instances) {
    fleet.messagesPerLoss = 5;
    start(instances);
    begin(instances);
    for (int i = 0; i < instances / 3; i++) {
      fleet.down.add(StreamFleet.name(3 * i));
    }
    assertTrue(known(instances) >= STREAMS / 2, "known were " + known(instances));
  }

  /** An instance whose streams only instances know that were replaced since is killed itself. */
  @Test
  void versionsAreToldToInstancesThatJoinLater() {
    start(1);
    Member first = fleet.member(StreamFleet.name(0));
    first.origins.onBegun(StreamFleet.stream(1), "v1");
    Member second = fleet.start(StreamFleet.name(1));
    first.origins.tick();
    fleet.down.add(StreamFleet.name(0));
    assertEquals(Optional.of("v1"), second.resolve(StreamFleet.stream(1)));
  }

  /** A stream costs a fixed number of messages, however many instances there are. */
  @ParameterizedTest
  @ValueSource(ints = {7, 95, 420})
  void messagesOfAStreamDontGrowWithTheFleet(int instances) {
    start(instances);
    fleet.messages = 0;
    begin(instances);
    assertTrue(fleet.messages <= 2 * STREAMS, "messages were " + fleet.messages);
  }

  /** An instance is cut off from all others but not from the shared log; then it is killed. */
  @Test
  void instanceThatHearsNoOtherNotesItsStreamsOnTheLog() {
    start(7);
    Member isolated = fleet.member(StreamFleet.name(0));
    fleet.messagesPerLoss = 1;
    isolated.origins.onBegun(StreamFleet.stream(1), "v1");
    isolated.origins.tick();
    assertEquals(List.of(), isolated.origins.notesToWrite(fleet.clock.instant()));
    fleet.clock.advance(Duration.ofSeconds(1));
    isolated.hearsPeers = false;
    isolated.origins.onBegun(StreamFleet.stream(2), "v2");
    isolated.origins.tick();
    List<SharedNote> notes = isolated.origins.notesToWrite(fleet.clock.instant());
    assertEquals(List.of(), isolated.origins.notesToWrite(fleet.clock.instant()));
    Member other = fleet.member(StreamFleet.name(1));
    notes.forEach(note -> other.origins.onNote(note, false));
    fleet.down.add(StreamFleet.name(0));
    assertEquals(Optional.of("v1"), other.resolve(StreamFleet.stream(1)));
    assertEquals(Optional.of("v2"), other.resolve(StreamFleet.stream(2)));
  }

  /** Streams that others were told of must not be written to the log. */
  @Test
  void instanceThatHearsOthersWritesNothingToTheLog() {
    start(7);
    Member member = fleet.member(StreamFleet.name(0));
    member.origins.onBegun(StreamFleet.stream(1), "v1");
    fleet.clock.advance(Duration.ofSeconds(3));
    member.origins.tick();
    member.hearsPeers = false;
    assertEquals(List.of(), member.origins.notesToWrite(fleet.clock.instant()));
  }

  /** What nobody knows must not be guessed while servers of two versions serve. */
  @Test
  void unknownStreamStaysUnknown() {
    start(7);
    assertEquals(
        Optional.empty(), fleet.member(StreamFleet.name(0)).resolve(StreamFleet.stream(1)));
  }

  /**
   * Guards against a stream that goes on at another version. An instance is out of step: it has
   * read the list half a second ago and stands still or is cut off from the others while servers of
   * a new version join. A stream begins there through another instance, breaks, and is taken up at
   * the late one.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void concludesNothingFromAListThatWasReadBeforeTheRequest(boolean othersReachable) {
    for (int i = 0; i < 3; i++) {
      fleet.start(StreamFleet.name(i)).list("a", "v1");
    }
    Member late = fleet.member(StreamFleet.name(0));
    Member other = fleet.member(StreamFleet.name(1));
    fleet.runFor(VersionHistory.LONGEST_STREAM.multipliedBy(2), late, other);
    late.listIsCurrent = false;
    late.listReadBegunAt = fleet.clock.instant();
    late.hearsPeers = false;
    fleet.clock.advance(Duration.ofMillis(500));
    other.list("b", "v2");
    fleet.messagesPerLoss = 1;
    other.origins.onBegun(StreamFleet.stream(1), "v2");
    if (!othersReachable) {
      fleet.down.add(StreamFleet.name(1));
      fleet.down.add(StreamFleet.name(2));
    }
    Optional<String> version = late.resolve(StreamFleet.stream(1));
    assertEquals(othersReachable ? Optional.of("v2") : Optional.empty(), version);
  }

  /**
   * Guards against streams that are refused needlessly: as soon as the list has been read once
   * more, it says that there is only one version.
   */
  @Test
  void concludesFromTheNextReadOfTheList() {
    fleet.start(StreamFleet.name(0)).list("a", "v1");
    Member late = fleet.start(StreamFleet.name(1));
    late.list("a", "v1");
    fleet.runFor(VersionHistory.LONGEST_STREAM.multipliedBy(2), late);
    late.listIsCurrent = false;
    late.listReadBegunAt = fleet.clock.instant();
    late.hearsPeers = false;
    fleet.down.add(StreamFleet.name(0));
    fleet.clock.advance(Duration.ofMillis(100));
    List<StreamOrigins.Resolution> results = new ArrayList<>();
    late.origins.resolve(StreamFleet.stream(1), StreamFleet.SERVICE, results::add);
    assertEquals(List.of(), results);
    late.listReadBegunAt = fleet.clock.instant();
    late.origins.tick();
    assertEquals(
        List.of(new StreamOrigins.Resolution.Known("v1", StreamOrigins.Source.ONLY_VERSION)),
        results);
  }

  /** Answers arrive one by one; the caller must not wait for those of instances that are slow. */
  @Test
  void firstInstanceThatKnowsTheStreamDecidesAndOthersChangeNothing() {
    List<Consumer<StreamPeers.Answer>> asked = new ArrayList<>();
    StreamPeers slow =
        new StreamPeers() {
          @Override
          public void announce(String instance, StreamKey stream, String version) {}

          @Override
          public void ask(String instance, StreamKey stream, Consumer<Answer> answer) {
            asked.add(answer);
          }
        };
    start(1);
    Set<String> names = Set.of("a", "b", "c");
    StreamOrigins origins =
        new StreamOrigins(
            "a",
            () -> names,
            slow,
            fleet.member(StreamFleet.name(0)).history,
            fleet.clock::instant,
            () -> true,
            fleet.clock);
    List<StreamOrigins.Resolution> results = new ArrayList<>();
    origins.resolve(StreamFleet.stream(1), StreamFleet.SERVICE, results::add);
    assertEquals(2, asked.size());
    asked.get(0).accept(new StreamPeers.Answer.Unreachable("slow"));
    assertEquals(0, results.size());
    asked.get(1).accept(new StreamPeers.Answer.Known("v2"));
    assertEquals(
        List.of(new StreamOrigins.Resolution.Known("v2", StreamOrigins.Source.PEER)), results);
    origins.resolve(StreamFleet.stream(2), StreamFleet.SERVICE, results::add);
    asked.get(2).accept(new StreamPeers.Answer.Unreachable("down"));
    asked.get(3).accept(new StreamPeers.Answer.Unknown());
    assertEquals(new StreamOrigins.Resolution.Unknown(1), results.getLast());
  }

  /** A caller that names another customer's attempt must not learn its version. */
  @Test
  void keyContainsTheCustomerAndTheService() {
    StreamKey key = StreamKey.of("trawler", "models", "r-1");
    assertEquals(key, StreamKey.of("trawler", "models", "r-1"));
    assertNotEquals(key, StreamKey.of("ferry", "models", "r-1"));
    assertNotEquals(key, StreamKey.of("trawler", "models-2", "r-1"));
    assertNotEquals(key, StreamKey.of("trawler", "models", "r-2"));
  }

  @Test
  void streamIsForgottenOnceItsCallerCanNoLongerComeBack() {
    start(2);
    Member first = fleet.member(StreamFleet.name(0));
    first.origins.onBegun(StreamFleet.stream(1), "v1");
    fleet.clock.advance(VersionHistory.LONGEST_STREAM.minusMillis(1));
    assertEquals(Optional.of("v1"), first.origins.find(StreamFleet.stream(1)));
    fleet.clock.advance(Duration.ofMillis(1));
    assertEquals(Optional.empty(), first.origins.find(StreamFleet.stream(1)));
    assertEquals(0, first.origins.storedStreams());
  }
}
