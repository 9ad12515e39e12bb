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
   * A request crashes each server that runs it and is repeated at another instance each time. After
   * the third crash no instance sends it any more, although each of them saw only one. A request
   * that ran beside it once is still served.
   */
  @Test
  void quarantinesARequestThatCrashedServersOfThreeInstances() {
    for (int i = 0; i < 3; i++) {
      assertFalse(fleet.get(i).isQuarantined(REQUEST), "quarantined after %d crashes".formatted(i));
      fleet.get(i).onConnectionLost(REQUEST, server(i));
      fleet.get(i).onConnectionLost("beside " + i, server(i));
      fleet.get(i).onUnreachable(server(i));
      exchangeNotes();
    }
    for (RequestQuarantine each : fleet) {
      assertTrue(each.isQuarantined(REQUEST), "not quarantined after three crashes");
      assertFalse(each.isQuarantined("beside 1"), "a request that ran beside it is quarantined");
    }
    assertEquals(
        List.of(new GatewayEvent.RequestQuarantined(REQUEST, server(2).id().name())),
        events.stream().filter(GatewayEvent.RequestQuarantined.class::isInstance).toList());
    assertEquals(
        List.of(1, 1, 2, 1, 3, 1),
        events.stream()
            .filter(GatewayEvent.CrashCounted.class::isInstance)
            .map(event -> ((GatewayEvent.CrashCounted) event).crashes())
            .toList());
    assertEquals(7, events.size());
  }

  /**
   * Requests aren't quarantined because of lost answers. A connection breaks before the answer, but
   * the server still accepts connections, so it has not crashed.
   */
  @Test
  void ignoresBrokenConnectionsOfAServerThatKeepsRunning() {
    for (int i = 0; i < 4; i++) {
      fleet.getFirst().onConnectionLost(REQUEST, server(i));
    }
    clock.advance(Duration.ofSeconds(7));
    fleet.getFirst().tick();
    fleet.getFirst().onUnreachable(server(0));
    assertFalse(fleet.getFirst().hasCounts(), "a lost answer was counted as a crash");
  }

  /**
   * The address of a server's earlier process refuses a connection. That is no proof that the
   * present process crashed, so an answer lost there doesn't count.
   */
  @Test
  void doesNotCountARefusalByAnEarlierIncarnationAsACrash() {
    ServerIncarnation earlier = new ServerIncarnation(server(0).id(), Optional.of(Instant.EPOCH));
    ServerIncarnation later =
        new ServerIncarnation(server(0).id(), Optional.of(Instant.EPOCH.plusMillis(1)));
    fleet.getFirst().onConnectionLost(REQUEST, later);
    fleet.getFirst().onUnreachable(earlier);
    assertFalse(fleet.getFirst().hasCounts(), "a lost answer was counted as a crash");
  }

  /** The crash of a server that gets no further connections shows by its removal from the list. */
  @Test
  void countsCrashesOfServersThatAreGoneFromTheList() {
    RequestQuarantine one = fleet.getFirst();
    for (int i = 0; i < 3; i++) {
      one.onConnectionLost(REQUEST, server(i));
      listed.remove(server(i));
      one.tick();
    }
    assertTrue(one.isQuarantined(REQUEST), "not quarantined after three crashes");
  }

  @Test
  void resetsTheCountWhenTheRequestIsAnswered() {
    RequestQuarantine one = fleet.getFirst();
    for (int i = 0; i < 4; i++) {
      one.onConnectionLost(REQUEST, server(i));
      one.onUnreachable(server(i));
      if (i == 1) {
        one.onAnswered(REQUEST);
      }
    }
    assertFalse(one.isQuarantined(REQUEST), "quarantined despite an answer between the crashes");
  }

  @Test
  void keepsTheCountOverARestartAndDropsItAfterTheRetentionTime() {
    for (int i = 0; i < 3; i++) {
      fleet.getFirst().onConnectionLost(REQUEST, server(i));
      fleet.getFirst().onUnreachable(server(i));
    }
    RequestQuarantine successor = quarantine("a");
    successor.onLoaded(fleet.getFirst().notesToWrite(clock.instant()), true);
    assertTrue(successor.isQuarantined(REQUEST), "a restart forgot the crashes");

    clock.advance(Duration.ofMinutes(4));
    fleet.getFirst().tick();
    assertEquals(
        List.of(new SharedNote.Crash("a", REQUEST, 0)),
        fleet.getFirst().notesToWrite(clock.instant()));
    assertFalse(fleet.getFirst().hasCounts(), "still counted after the retention time");
  }

  /**
   * A request must not be refused forever. The count of an instance that doesn't exist, or is gone,
   * is never cancelled by that instance.
   */
  @Test
  void dropsACountThatItsInstanceNeverCancels() {
    RequestQuarantine one = fleet.getFirst();
    one.onNote(new SharedNote.Crash("nobody", REQUEST, 1_000), false);
    assertTrue(one.isQuarantined(REQUEST), "the count of another instance is ignored");
    clock.advance(Duration.ofMinutes(5));
    one.tick();
    assertFalse(one.isQuarantined(REQUEST), "quarantined forever");
    assertFalse(one.hasCounts(), "still counted after the retention time");
  }

  /** A note that is read again after a gap in the log keeps its age. */
  @Test
  void doesNotExtendACountWhoseNoteIsReadAgain() {
    SharedNote note = new SharedNote.Crash("nobody", REQUEST, 3);
    RequestQuarantine one = fleet.getFirst();
    one.onLoaded(List.of(note), true);
    clock.advance(Duration.ofMinutes(3));
    one.onLoaded(List.of(note), false);
    clock.advance(Duration.ofMinutes(2));
    one.tick();
    assertFalse(one.isQuarantined(REQUEST), "quarantined forever");
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
