package org.teaseldeal.gateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;

class ServerDirectoryTests {
  private static final Instant LIST_BACK_AT = Instant.EPOCH;
  private static final Instant GRACE_END = LIST_BACK_AT.plus(Duration.ofSeconds(2));

  /** When two incarnations of one server started. */
  private static final Instant FIRST_START = Instant.ofEpochMilli(1_700_000_000_000L);

  private static final Instant SECOND_START = FIRST_START.plusMillis(1);

  private final ServerDirectory directory = new ServerDirectory();

  @BeforeEach
  void list() {
    directory.put(listing("a", false));
    directory.put(listing("b", false));
  }

  /**
   * Guards against servers that count as warming up for as long as they have nothing new to say:
   * their records stay the same, and each instance would reach only the few that it has a share of.
   */
  @Test
  void serverWithoutNewRecordStaysWarmWhileTheListIsRead() {
    Instant later = Instant.EPOCH.plus(Duration.ofMinutes(1));
    directory.onListRead(later);
    assertFalse(directory.find(new BackendServerId("a")).orElseThrow().isWarmingUp(later));
  }

  /** Guards against requests for a server that began to warm up while the list was unavailable. */
  @Test
  void serverCountsAsWarmingUpOnceTheListHasNotBeenReadForLong() {
    directory.onListRead(Instant.EPOCH);
    Instant later = Instant.EPOCH.plus(Duration.ofMinutes(1));
    assertTrue(directory.find(new BackendServerId("a")).orElseThrow().isWarmingUp(later));
  }

  /**
   * All listings expired in an outage of the list because none could be renewed. Right after it,
   * the servers are kept for a grace period. One server renews its listing in time, the other one
   * is gone.
   */
  @Test
  void keepsServersForAGracePeriodAfterAnOutageOfTheList() {
    directory.expireUnlistedWithGrace(Set.of(), GRACE_END);
    directory.tick(GRACE_END.minusMillis(1));
    assertEquals(2, directory.ready("models").size());
    directory.put(listing("a", false));
    directory.tick(GRACE_END);
    assertEquals("a", directory.ready("models").getFirst().id().name());
    assertEquals(1, directory.ready("models").size());
  }

  /** A server that announced that it leaves gets no grace period after an outage of the list. */
  @Test
  void removesALeavingServerWithoutAGracePeriod() {
    directory.put(listing("a", true));
    directory.expireWithGrace(new BackendServerId("a"), GRACE_END);
    assertEquals(1, directory.all().size());
  }

  @Test
  void keepsAServerLeavingIfAnOutdatedListingFollows() {
    directory.put(listing("a", true));
    directory.put(listing("a", false));
    assertEquals(1, directory.ready("models").size());
  }

  /**
   * A server crashes and restarts under its id before its listing expires, at another address and
   * for another service. Nothing of the earlier process applies to the new one; requests that this
   * instance had there count for the earlier process.
   */
  @Test
  void replacesAnIncarnationByALaterOne() {
    directory.put(listingWithStart("c", FIRST_START, false));
    BackendServer crashed = find("c");
    List<BackendServer> replaced = new ArrayList<>();
    directory.onReplaced(replaced::add);
    crashed.onRequestSent(700);
    crashed.excludeUntil(Instant.MAX);
    directory.put(
        new ServerListing(
            new BackendServerId("c"),
            "desk",
            "10.0.0.7:81",
            "hall-b",
            "v1",
            32,
            false,
            Optional.of(SECOND_START)));
    BackendServer restarted = find("c");
    assertEquals("10.0.0.7:81", restarted.address());
    assertEquals("hall-b", restarted.dataCentre());
    assertEquals(32, restarted.maxConcurrentRequests());
    assertEquals(0, restarted.running());
    assertEquals(0, restarted.promptTokensAhead());
    assertFalse(
        restarted.isExcluded(LIST_BACK_AT), "the earlier incarnation's exclusion still applies");
    assertEquals(List.of("c"), ready("desk"));
    assertEquals(List.of("a", "b"), ready("models"));
    crashed.onRequestEnded();
    assertEquals(0, restarted.running());
    assertEquals(List.of(crashed), replaced);
  }

  /** A draining server ends and restarts under its id. It can be chosen at once. */
  @Test
  void listsAServerThatLeftAndRestarted() {
    directory.put(listingWithStart("c", FIRST_START, true));
    directory.put(listingWithStart("c", SECOND_START, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  /**
   * The last listings of a process that has ended arrive after those of its successor. One says
   * that the process is ready, one that it leaves; neither may have an effect.
   */
  @Test
  void ignoresListingsOfAnEarlierIncarnation() {
    directory.put(listingWithStart("c", SECOND_START, false));
    BackendServer current = find("c");
    directory.put(listingWithStart("c", FIRST_START, false));
    directory.put(listingWithStart("c", FIRST_START, true));
    assertSame(current, find("c"));
    assertTrue(current.isListedAsReady(), "a listing of an earlier incarnation made it leave");
  }

  @Test
  void keepsALeavingIncarnationFromBecomingReadyAgain() {
    directory.put(listingWithStart("c", FIRST_START, true));
    directory.put(listingWithStart("c", FIRST_START, false));
    assertEquals(List.of("a", "b"), ready("models"));
  }

  /**
   * The listing of a server that left is removed, and a delayed one of the same process follows.
   */
  @Test
  void ignoresADelayedListingOfAServerThatLeft() {
    directory.put(listingWithStart("c", FIRST_START, true));
    directory.remove(new BackendServerId("c"));
    directory.put(listingWithStart("c", FIRST_START, false));
    assertEquals(List.of("a", "b"), ready("models"));
    directory.put(listingWithStart("c", SECOND_START, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  @Test
  void ignoresAnEarlierIncarnationOfARemovedServer() {
    directory.put(listingWithStart("c", SECOND_START, false));
    directory.remove(new BackendServerId("c"));
    directory.put(listingWithStart("c", FIRST_START, false));
    assertEquals(List.of("a", "b"), ready("models"));
  }

  /** A server that restarts with its clock set back must not be ignored forever. */
  @Test
  void acceptsAnEarlierStartTimeAfterTheRetentionTime() {
    directory.tick(LIST_BACK_AT);
    directory.put(listingWithStart("c", SECOND_START, false));
    directory.remove(new BackendServerId("c"));
    directory.tick(LIST_BACK_AT.plus(Duration.ofMinutes(1)));
    directory.put(listingWithStart("c", FIRST_START, false));
    assertEquals(List.of("a", "b"), ready("models"));
    directory.tick(LIST_BACK_AT.plus(Duration.ofMinutes(2)));
    directory.put(listingWithStart("c", FIRST_START, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  /**
   * A server was isolated from the list until its listing expired, and kept running. Its listing
   * returns with the same start time, and only its own heartbeat can have written it.
   */
  @Test
  void listsAServerAgainAfterItsListingHadExpired() {
    directory.put(listingWithStart("c", FIRST_START, false));
    directory.remove(new BackendServerId("c"));
    directory.put(listingWithStart("c", FIRST_START, false));
    assertEquals(List.of("a", "b", "c"), ready("models"));
  }

  /**
   * A listing without a start time, under the id of a server that publishes its start time, is from
   * another writer.
   */
  @Test
  void ignoresAListingWithoutAStartTimeAfterOneWithAStartTime() {
    directory.put(listingWithStart("c", FIRST_START, false));
    BackendServer current = find("c");
    directory.put(listing("c", true));
    assertSame(current, find("c"));
    assertTrue(current.isListedAsReady(), "a listing without a start time made the server leave");
    directory.remove(new BackendServerId("c"));
    directory.put(listing("c", false));
    assertEquals(List.of("a", "b"), ready("models"));
  }

  /**
   * A new release of a server publishes its start time. The process that didn't publish one has
   * ended.
   */
  @Test
  void replacesAServerWithoutAStartTimeByOneWithAStartTime() {
    directory.put(listing("a", true));
    directory.put(listingWithStart("a", FIRST_START, false));
    assertEquals(2, directory.ready("models").size());
  }

  /**
   * No request may be sent to an address that another writer put on the list. All servers of the
   * platform publish their start time. Listings without one are there from the beginning or come
   * later, also while the valid listings are missing for a moment.
   */
  @Test
  void ignoresServersWithoutAStartTimeOnceMostHaveOne() {
    directory.put(listingWithStart("c", FIRST_START, false));
    directory.tick(LIST_BACK_AT);
    assertEquals(List.of("a", "b", "c"), ready("models"));
    directory.put(listingWithStart("d", FIRST_START, false));
    directory.tick(LIST_BACK_AT);
    assertEquals(List.of("c", "d"), ready("models"));
    directory.retain(Set.of());
    directory.put(listing("e", false));
    directory.tick(LIST_BACK_AT);
    assertEquals(List.of(), ready("models"));
  }

  /** A single listing with a start time must not remove a fleet whose servers publish none. */
  @Test
  void keepsAFleetWithoutStartTimes() {
    directory.put(listingWithStart("c", FIRST_START, false));
    directory.remove(new BackendServerId("c"));
    directory.tick(LIST_BACK_AT);
    directory.put(listing("d", false));
    assertEquals(List.of("a", "b", "d"), ready("models"));
    directory.remove(new BackendServerId("d"));
    directory.put(listing("d", false));
    assertEquals(List.of("a", "b", "d"), ready("models"));
  }

  private BackendServer find(String id) {
    return directory.find(new BackendServerId(id)).orElseThrow();
  }

  private List<String> ready(String service) {
    return directory.ready(service).stream().map(server -> server.id().name()).sorted().toList();
  }

  private static ServerListing listingWithStart(String id, Instant start, boolean leaving) {
    return new ServerListing(
        new BackendServerId(id),
        "models",
        "10.0.0.1:80",
        "hall-a",
        "v1",
        64,
        leaving,
        Optional.of(start));
  }

  /**
   * A server that restarts under its id with other software must not be taken for the earlier one.
   */
  @Test
  void replacesServerThatIsListedWithAnotherSoftwareVersion() {
    directory.put(listing("a", false));
    ListingChange change = directory.put(listing("a", "v2", false));
    assertEquals(ListingChange.RESTARTED, change);
    assertEquals("v2", find("a").softwareVersion());
  }

  private static ServerListing listing(String id, boolean leaving) {
    return listing(id, "v1", leaving);
  }

  private static ServerListing listing(String id, String version, boolean leaving) {
    return new ServerListing(
        new BackendServerId(id),
        "models",
        "10.0.0.1:80",
        "hall-a",
        version,
        64,
        leaving,
        Optional.empty());
  }
}
