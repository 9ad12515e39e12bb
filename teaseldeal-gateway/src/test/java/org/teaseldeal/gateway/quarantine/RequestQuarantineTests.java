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
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.ServerIncarnation;

class RequestQuarantineTests {
  private static final String REQUEST = "f1";

  private final ManualClock clock = new ManualClock();
  private final Set<ServerIncarnation> listed =
      new HashSet<>(Set.of(server(0), server(1), server(2), server(3)));
  private final List<GatewayEvent> events = new ArrayList<>();
  private final List<RequestQuarantine> fleet =
      List.of(quarantine("a"), quarantine("b"), quarantine("c"));

  /**
   * A caller's request ends each server that begins it, and comes again at another instance each
   * time. After the third crash no instance sends it any more, though none of them saw more than
   * one; the next caller's request that ran beside it once is still served.
   */
  @Test
  void stopsARequestThatCrashedThreeServersAtThreeInstances() {
    for (int i = 0; i < 3; i++) {
      assertFalse(fleet.get(i).holds(REQUEST), "held after %d crashes".formatted(i));
      fleet.get(i).onBrokenOff(REQUEST, server(i));
      fleet.get(i).onBrokenOff("beside " + i, server(i));
      fleet.get(i).onUnreachable(server(i));
      exchangeNotes();
    }
    for (RequestQuarantine each : fleet) {
      assertTrue(each.holds(REQUEST), "not held after three crashes");
      assertFalse(each.holds("beside 1"), "a request that ran beside it is held");
    }
    assertEquals(
        List.of(new GatewayEvent.RequestQuarantined(REQUEST, server(2).id().name())), events);
  }

  /**
   * Callers' requests aren't stopped for lost answers. A server runs each, and its connection
   * breaks before the answer; the server goes on taking connections, so nothing crashed.
   */
  @Test
  void countsNoBrokenConnectionOfAServerThatGoesOn() {
    for (int i = 0; i < 4; i++) {
      fleet.getFirst().onBrokenOff(REQUEST, server(i));
    }
    clock.advance(Duration.ofSeconds(7));
    fleet.getFirst().tick();
    fleet.getFirst().onUnreachable(server(0));
    assertFalse(fleet.getFirst().active(), "a lost answer was counted as a crash");
  }

  /**
   * A caller's request isn't stopped for an answer lost at a server that runs. The server's earlier
   * process, at another address, refuses a connection; that tells nothing of the one that runs.
   */
  @Test
  void takesARefusalByAnEarlierIncarnationForNoCrashOfTheNext() {
    ServerIncarnation earlier = new ServerIncarnation(server(0).id(), Optional.of(Instant.EPOCH));
    ServerIncarnation later =
        new ServerIncarnation(server(0).id(), Optional.of(Instant.EPOCH.plusMillis(1)));
    fleet.getFirst().onBrokenOff(REQUEST, later);
    fleet.getFirst().onUnreachable(earlier);
    assertFalse(fleet.getFirst().active(), "a lost answer was counted as a crash");
  }

  /** A crashed server that nobody connects to again is found out by its absence from the list. */
  @Test
  void countsServersThatAreGoneFromTheList() {
    RequestQuarantine one = fleet.getFirst();
    for (int i = 0; i < 3; i++) {
      one.onBrokenOff(REQUEST, server(i));
      listed.remove(server(i));
      one.tick();
    }
    assertTrue(one.holds(REQUEST), "not held after three crashes");
  }

  @Test
  void startsAnewWithAnAnswer() {
    RequestQuarantine one = fleet.getFirst();
    for (int i = 0; i < 4; i++) {
      one.onBrokenOff(REQUEST, server(i));
      one.onUnreachable(server(i));
      if (i == 1) {
        one.onAnswered(REQUEST);
      }
    }
    assertFalse(one.holds(REQUEST), "held with an answer between the crashes");
  }

  @Test
  void goesOnAfterARestartAndForgetsInTheEnd() {
    for (int i = 0; i < 3; i++) {
      fleet.getFirst().onBrokenOff(REQUEST, server(i));
      fleet.getFirst().onUnreachable(server(i));
    }
    RequestQuarantine successor = quarantine("a");
    successor.onLoaded(fleet.getFirst().notesToWrite(clock.instant()), true);
    assertTrue(successor.holds(REQUEST), "a restart forgot the crashes");

    clock.advance(Duration.ofMinutes(4));
    fleet.getFirst().tick();
    assertEquals(
        List.of(new SharedNote.Crash("a", REQUEST, 0)),
        fleet.getFirst().notesToWrite(clock.instant()));
    assertFalse(fleet.getFirst().active(), "still counted after the time to forget");
  }

  /**
   * A caller's request is refused by all for a while only. A count stands under the name of an
   * instance that isn't there, or is gone for good, so nobody ever takes it back.
   */
  @Test
  void forgetsWhatNobodyTakesBack() {
    RequestQuarantine one = fleet.getFirst();
    one.onNote(new SharedNote.Crash("nobody", REQUEST, 1_000), false);
    assertTrue(one.holds(REQUEST), "what another instance counted isn't held");
    clock.advance(Duration.ofMinutes(5));
    one.tick();
    assertFalse(one.holds(REQUEST), "held for good");
    assertFalse(one.active(), "still counted after the time to forget");
  }

  /** Read again after a gap, the same note is as old as before. */
  @Test
  void countsNoNoteLongerForReadingItAgain() {
    SharedNote note = new SharedNote.Crash("nobody", REQUEST, 3);
    RequestQuarantine one = fleet.getFirst();
    one.onLoaded(List.of(note), true);
    clock.advance(Duration.ofMinutes(3));
    one.onLoaded(List.of(note), false);
    clock.advance(Duration.ofMinutes(2));
    one.tick();
    assertFalse(one.holds(REQUEST), "held for good");
  }

  private RequestQuarantine quarantine(String instance) {
    return new RequestQuarantine(instance, listed::contains, events::add, clock);
  }

  private void exchangeNotes() {
    for (RequestQuarantine writer : fleet) {
      for (SharedNote note : writer.notesToWrite(clock.instant())) {
        fleet.forEach(reader -> reader.onNote(note, reader == writer));
      }
    }
  }

  private static ServerIncarnation server(int index) {
    return new ServerIncarnation(new BackendServerId("engine-" + index), Optional.empty());
  }
}
