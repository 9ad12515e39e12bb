package org.teaseldeal.gateway.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.RateAnnouncement;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;

/** Tests of what instances tell each other of the limits that servers name. */
class AnnouncedLimitsTests {
  private static final Set<String> NAMES = Set.of("a", "b", "c", "d", "e", "f", "g");

  private final ManualClock clock = new ManualClock();
  private final List<SharedNote> messages = new ArrayList<>();
  private final ServerDirectory servers = new ServerDirectory();
  private final AnnouncedLimits first = limits("a", 1);
  private final AnnouncedLimits second = limits("b", 2);
  private BackendServer server;

  @BeforeEach
  void list() {
    servers.put(
        new ServerListing(
            new BackendServerId("server-1"),
            "models",
            "10.0.0.1:80",
            "hall-a",
            "v1",
            6,
            false,
            Optional.of(Instant.EPOCH)));
    server = servers.find(new BackendServerId("server-1")).orElseThrow();
  }

  private AnnouncedLimits limits(String name, long seed) {
    return new AnnouncedLimits(
        name,
        () -> NAMES,
        other -> Optional.of(other + ":1"),
        messages::add,
        event -> {},
        clock,
        new Random(seed));
  }

  private void answer(AnnouncedLimits at, double limit) {
    clock.advance(Duration.ofMillis(100));
    at.onAnswer(server, new RateAnnouncement.Limited(limit), clock.instant());
  }

  private void answerWithout(AnnouncedLimits at) {
    clock.advance(Duration.ofMillis(100));
    at.onAnswer(server, new RateAnnouncement.Absent(), clock.instant());
  }

  /** Guards against a server in need that gets more from instances that it has not answered. */
  @Test
  void instanceThatWasOnlyToldKeepsToTheLimit() {
    answer(first, 1);
    messages.forEach(second::onMessage);
    assertTrue(second.isLimited(server));
    assertEquals(1, second.requestsPerSecond(server));
  }

  /** Guards against states that depend on the order in which messages arrive. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void allEndUpWithTheSameLimitWhateverTheOrderOfMessages(long seed) {
    answer(first, 3);
    answer(first, 1);
    messages.forEach(second::onMessage);
    answerWithout(second);
    List<SharedNote> sent = new ArrayList<>(messages);
    sent.forEach(first::onMessage);
    answer(first, 2);
    sent = new ArrayList<>(messages);
    sent.addAll(messages);
    Collections.shuffle(sent, new Random(seed));
    AnnouncedLimits third = limits("c", 3);
    sent.forEach(third::onMessage);
    assertEquals(2, third.requestsPerSecond(server));
  }

  @Test
  void limitEndsForAllWhenOneHearsOfIt() {
    answer(first, 1);
    messages.forEach(second::onMessage);
    answerWithout(first);
    messages.forEach(second::onMessage);
    assertEquals(AnnouncedLimits.NO_LIMIT, second.requestsPerSecond(server));
    assertTrue(second.isLimited(server));
    clock.advance(Duration.ofSeconds(4));
    assertFalse(second.isLimited(server));
  }

  /** Guards against a crowd of requests, or none at all, at a server whose limit has just ended. */
  @Test
  void limitIsRaisedStepByStepAfterItsEnd() {
    answer(first, 1.5);
    assertEquals(1.5, first.allowedPerSecond(server, clock.instant()));
    answerWithout(first);
    assertEquals(3, first.allowedPerSecond(server, clock.instant()));
    clock.advance(Duration.ofSeconds(2));
    assertEquals(12, first.allowedPerSecond(server, clock.instant()));
    clock.advance(Duration.ofSeconds(1));
    assertEquals(0, first.allowedPerSecond(server, clock.instant()));
  }

  /** Guards against instances that start, or missed the messages, and don't know of a limit. */
  @Test
  void limitIsReadFromTheLog() {
    answer(first, 1);
    clock.advance(Duration.ofSeconds(1));
    List<SharedNote> written = first.notesToWrite(clock.instant());
    assertEquals(1, written.size());
    second.onLoaded(written, true);
    assertEquals(1, second.requestsPerSecond(server));
  }

  /** Guards against a note of each instance for each change, which the log would not bear. */
  @Test
  void writesNothingThatAnotherInstanceHasWritten() {
    answer(first, 1);
    messages.forEach(second::onMessage);
    answer(second, 1);
    clock.advance(Duration.ofSeconds(1));
    List<SharedNote> written = first.notesToWrite(clock.instant());
    written.forEach(note -> second.onNote(note, false));
    assertEquals(List.of(), second.notesToWrite(clock.instant()));
  }

  /** Guards against notes of servers that are gone, which would fill the log for good. */
  @Test
  void withdrawsItsNoteOnceTheServerIsGoneForAWhile() {
    answer(first, 1);
    clock.advance(Duration.ofSeconds(1));
    first.notesToWrite(clock.instant());
    first.retain(Set.of());
    assertEquals(1, first.count());
    clock.advance(Duration.ofSeconds(31));
    first.retain(Set.of());
    assertEquals(0, first.count());
    List<SharedNote> withdrawn = first.notesToWrite(clock.instant());
    assertEquals(0, ((SharedNote.ServerLimit) withdrawn.getFirst()).sequence());
  }

  /** Guards against callers at one instance that use none of what the others may send. */
  @Test
  void offersRequestsToHoldersThatMayHaveRoom() {
    answer(first, 7);
    assertEquals(6, first.otherHolders(server).size());
    first.onNoRoom(server, "b:1", Duration.ofMillis(300));
    first.onOffered(server, "c:1");
    assertEquals(4, first.otherHolders(server).size());
    clock.advance(Duration.ofMillis(1100));
    assertEquals(6, first.otherHolders(server).size());
  }
}
