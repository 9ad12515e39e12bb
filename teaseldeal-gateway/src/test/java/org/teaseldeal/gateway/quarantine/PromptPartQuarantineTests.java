package org.teaseldeal.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.ServerIncarnation;

class PromptPartQuarantineTests {
  private static final String BAD = "bad0";
  private static final String COMMON = "5a5a";

  private final ManualClock clock = new ManualClock();
  private final Set<ServerIncarnation> unlisted = new HashSet<>();
  private final List<GatewayEvent> events = new ArrayList<>();
  private final List<SharedNote> messages = new ArrayList<>();
  private final PromptPartQuarantine first = quarantine("a");
  private final PromptPartQuarantine second = quarantine("b");

  /**
   * Each instance sees only some of the requests. Both must refuse the part after three crashes,
   * whether they are told by messages or by the log.
   */
  @Test
  void countsCrashesOfAllInstances() {
    crash(first, 1, COMMON, BAD);
    crash(second, 2, BAD);
    crash(first, 3, BAD);
    assertEquals(Optional.empty(), first.quarantinedPart(List.of(BAD)));
    messages.forEach(first::onMessage);
    messages.forEach(second::onMessage);
    PromptPartQuarantine third = quarantine("c");
    third.onLoaded(notesOf(first, second), true);
    for (PromptPartQuarantine each : List.of(first, second, third)) {
      assertEquals(Optional.of(BAD), each.quarantinedPart(List.of(COMMON, BAD)));
      assertEquals(Optional.empty(), each.quarantinedPart(List.of(COMMON)));
      assertEquals(1, each.quarantinedParts());
    }
  }

  /** A restarted instance must not have servers crash again under a part that is known. */
  @Test
  void knowsThePartAfterAKillOfAllInstances() {
    for (int server = 1; server <= 3; server++) {
      crash(first, server, BAD);
    }
    PromptPartQuarantine successor = quarantine("a");
    successor.onLoaded(notesOf(first), true);
    assertEquals(Optional.of(BAD), successor.quarantinedPart(List.of(BAD)));
  }

  /**
   * Answers clear a common part between the crashes, and the instance that saw it is restarted. The
   * successor must know it, or it refuses all requests with the part, and none can clear it.
   */
  @Test
  void knowsAfterARestartWhichPartsWereAnswered() {
    for (int server = 1; server <= 3; server++) {
      crash(first, server, COMMON, BAD);
      first.onAnswered(List.of(COMMON));
    }
    crash(first, 4, COMMON);
    first.onAnswered(List.of(COMMON));
    clock.advance(Duration.ofSeconds(1));
    first.tick();
    PromptPartQuarantine successor = quarantine("a");
    successor.onLoaded(notesOf(first), true);
    assertEquals(Optional.of(BAD), successor.quarantinedPart(List.of(COMMON, BAD)));
    assertEquals(Optional.empty(), successor.quarantinedPart(List.of(COMMON)));
  }

  /** Connections break without a crash if answers or links are lost; no part may be blamed. */
  @Test
  void ignoresBrokenConnectionsOfServersThatGoOn() {
    for (int server = 1; server <= 5; server++) {
      first.onConnectionLost(List.of(BAD), server(server));
      clock.advance(Duration.ofSeconds(1));
      first.tick();
    }
    clock.advance(Duration.ofSeconds(7));
    first.tick();
    first.onUnreachable(server(1));
    assertEquals(Optional.empty(), first.quarantinedPart(List.of(BAD)));
    assertEquals(List.of(), messages);
  }

  /** An answer at one instance must end the suspicion at all others. */
  @Test
  void tellsOthersThatAPartWasAnswered() {
    for (int server = 1; server <= 3; server++) {
      crash(first, server, COMMON);
    }
    messages.forEach(second::onMessage);
    assertEquals(Optional.of(COMMON), second.quarantinedPart(List.of(COMMON)));
    first.onAnswered(List.of(COMMON));
    clock.advance(Duration.ofMillis(500));
    first.tick();
    second.onMessage(messages.getLast());
    assertEquals(Optional.empty(), first.quarantinedPart(List.of(COMMON)));
    assertEquals(Optional.empty(), second.quarantinedPart(List.of(COMMON)));
    assertEquals(0, second.quarantinedParts());
    assertTrue(events.contains(new GatewayEvent.PartCleared(COMMON, 3)), events.toString());
  }

  /** A repeat would crash a second server before it is known why the first one ended. */
  @Test
  void suspectsAnUnknownPartAsSoonAsItsConnectionIsLost() {
    first.onAnswered(List.of(COMMON));
    first.onConnectionLost(List.of(COMMON, BAD), server(1));
    assertTrue(first.isSuspected(List.of(BAD)));
    assertFalse(first.isSuspected(List.of(COMMON)));
    assertFalse(first.isRepeatedlyImplicated(List.of(BAD)));
  }

  /** Requests with the part still come; the quarantine must not end by the clock. */
  @Test
  void doesNotEndWhileRequestsWithThePartCome() {
    for (int server = 1; server <= 3; server++) {
      crash(first, server, BAD);
    }
    for (int hour = 0; hour < 5; hour++) {
      clock.advance(Duration.ofMinutes(50));
      first.tick();
      assertEquals(Optional.of(BAD), first.quarantinedPart(List.of(BAD)));
    }
    first.notesToWrite(clock.instant());
    clock.advance(Duration.ofMinutes(61));
    first.tick();
    assertEquals(Optional.empty(), first.quarantinedPart(List.of(BAD)));
    assertEquals(
        Set.of(
            new SharedNote.ServerCrash("a", "i-1", 0, List.of()),
            new SharedNote.ServerCrash("a", "i-2", 0, List.of()),
            new SharedNote.ServerCrash("a", "i-3", 0, List.of())),
        Set.copyOf(first.notesToWrite(clock.instant())));
  }

  /** Callers choose the ids of parts, which must fit into the keys of notes. */
  @Test
  void hashesIdsThatAreNoNames() {
    String id = "|".repeat(5_000);
    for (int server = 1; server <= 3; server++) {
      crash(first, server, id);
    }
    String part = first.quarantinedPart(List.of(id)).orElseThrow();
    assertEquals(17, part.length());
  }

  /** Crashes a server under a request that was about to be answered, a second after the last. */
  private void crash(PromptPartQuarantine instance, int server, String... parts) {
    clock.advance(Duration.ofSeconds(1));
    instance.onConnectionLost(List.of(parts), server(server));
    if (server % 2 == 0) {
      instance.onUnreachable(server(server));
    } else {
      unlisted.add(server(server));
      instance.tick();
    }
  }

  private List<SharedNote> notesOf(PromptPartQuarantine... instances) {
    List<SharedNote> notes = new ArrayList<>();
    for (PromptPartQuarantine each : instances) {
      notes.addAll(each.notesToWrite(clock.instant()));
    }
    return notes;
  }

  private PromptPartQuarantine quarantine(String instance) {
    return new PromptPartQuarantine(
        instance,
        () -> Set.of("a", "b", "c"),
        server -> !unlisted.contains(server),
        messages::add,
        events::add,
        clock,
        clock,
        new Random(1));
  }

  private static ServerIncarnation server(int index) {
    return new ServerIncarnation(new BackendServerId("i-" + index), Optional.<Instant>empty());
  }
}
