package org.teaseldeal.gateway.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.gateway.fake.FakeSharedLog.Behaviour;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * Checks that a customer never gets more than its total, whatever foreign writers write under the
 * keys of the instances' notes.
 */
class ForeignNoteTests {
  private static final long TOTAL = 10_000;
  private static final byte[] UNREADABLE = {9, 9};
  private static final byte[] EMPTY = {};
  private static final Duration SETTLE_TIME = Duration.ofSeconds(5);

  private final AccountFleet fleet = new AccountFleet(2, TOTAL);

  /**
   * Guards against tokens that are given out twice after a note became unreadable. Most of the
   * total is spent at instance 1; its note is overwritten while it can't renew it, and instance 0
   * reloads all notes after a gap in the log.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void countsTheLastReadableNoteAfterAnUnreadableOne(boolean emptied) {
    spendMostOfTheTotalAtInstance1();
    fleet.stop(1);
    fleet.instance(0).port.behaviour(Behaviour.UNREACHABLE);
    fleet.overwriteNote(1, emptied ? EMPTY : UNREADABLE);
    fleet.log.compact();
    fleet.run(SETTLE_TIME);
    fleet.instance(0).port.behaviour(Behaviour.NORMAL);
    assertWithinTotalAfterRequest();
  }

  /**
   * Guards against the same double use by a process that has just started and never read the note
   * that was overwritten.
   */
  @Test
  void givesNoTokensWhileAPeersNoteIsUnreadableAtStart() {
    spendMostOfTheTotalAtInstance1();
    fleet.stop(1);
    fleet.stop(0);
    fleet.overwriteNote(1, UNREADABLE);
    fleet.restart(0);
    assertWithinTotalAfterRequest();
  }

  /**
   * Guards against the same double use by a restarted process that can't read what its predecessor
   * spent.
   */
  @Test
  void givesNoTokensIfItsOwnNoteIsUnreadableAtStart() {
    spendMostOfTheTotalAtInstance1();
    fleet.stop(1);
    fleet.overwriteNote(1, UNREADABLE);
    fleet.restart(1);
    fleet.run(SETTLE_TIME);
    fleet.instance(1).request(TOTAL / 2);
    assertWithinTotalAfterRequest();
    assertEquals(1, fleet.instance(1).refusals.size());
  }

  /**
   * Guards against callers that are refused by all instances for good, or get more than the total,
   * after a kill of all processes. An earlier version left a note with a claim that is larger than
   * any total; what it had spent counts, and the rest of the total is served.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void servesTheRestOfTheTotalAfterAnUnreadableNoteOfAnEarlierVersion(boolean peerFirst) {
    spendMostOfTheTotalAtInstance1();
    fleet.stop(0);
    fleet.stop(1);
    fleet.overwriteNote(1, note(TOTAL * 8 / 10, 0, Long.MAX_VALUE));
    fleet.run(SETTLE_TIME);
    fleet.restart(peerFirst ? 0 : 1);
    fleet.run(SETTLE_TIME);
    fleet.restart(peerFirst ? 1 : 0);
    fleet.run(SETTLE_TIME);
    int granted = 0;
    for (int i = 0; i < 10; i++) {
      AccountFleet.Instance instance = fleet.instance(i % 2);
      int before = instance.grantedRequests;
      instance.request(TOTAL / 20);
      fleet.run(SETTLE_TIME);
      granted += instance.grantedRequests - before;
    }
    assertTrue(granted >= 2, granted + " requests were served");
    assertTrue(fleet.givenTokens() <= TOTAL, fleet.givenTokens() + " tokens were given");
  }

  /**
   * Guards against an instance that loads the log as fast as it can with notes that it can't read
   * itself, for as long as a request waits.
   */
  @Test
  void writesUnreadableNotesAtALimitedRate() {
    AccountFleet.Instance instance = fleet.instance(1);
    instance.port.behaviour(Behaviour.MISPLACED);
    int before = fleet.log.appends();
    int seconds = 10;
    for (int i = 0; i < seconds; i++) {
      instance.request("herring", TOTAL / 4);
      fleet.run(Duration.ofSeconds(1));
    }
    int appends = fleet.log.appends() - before;
    assertTrue(appends > 0, "nothing was written");
    assertTrue(appends <= 4 * seconds, appends + " appends in " + seconds + " seconds");
  }

  /**
   * Guards against tokens that are given out twice after the note about a customer with a long name
   * became unreadable. All processes end, and the note names neither the customer nor a number.
   */
  @Test
  void givesNoTokensOfALongNamedCustomerWhileItsNoteIsUnreadable() {
    String customer = "trawler".repeat(40);
    fleet.instance(1).request(customer, TOTAL * 8 / 10);
    fleet.run(SETTLE_TIME);
    assertEquals(1, fleet.instance(1).grantedRequests);
    fleet.stop(0);
    fleet.stop(1);
    fleet.overwriteNote(1, SharedNote.customerInKey(customer), UNREADABLE);
    fleet.run(SETTLE_TIME);
    fleet.restart(0);
    fleet.run(SETTLE_TIME);
    fleet.instance(0).request(customer, TOTAL / 2);
    fleet.run(SETTLE_TIME);
    assertEquals(0, fleet.instance(0).grantedRequests);
    fleet.restart(1);
    fleet.run(SETTLE_TIME);
    fleet.instance(1).request(customer, TOTAL / 2);
    fleet.run(SETTLE_TIME);
    assertTrue(fleet.givenTokens() <= TOTAL, fleet.givenTokens() + " tokens were given");
  }

  /**
   * Guards against callers that wait for tokens in vain because a foreign writer's records keep
   * this instance from writing its notes.
   */
  @Test
  void goesOnWritingNotesBesideUnreadableRecordsOfAForeignWriter() {
    AccountFleet.Instance instance = fleet.instance(1);
    for (int i = 0; i < 40; i++) {
      fleet.overwriteNote(1, "foreign-" + i % 3, UNREADABLE);
      if (i % 10 == 0) {
        instance.request("herring-" + i, TOTAL / 4);
      }
      fleet.run(Duration.ofMillis(100));
    }
    fleet.run(SETTLE_TIME);
    assertEquals(4, instance.grantedRequests);
  }

  /** Guards against callers who get neither an answer nor a refusal while a claim is undecided. */
  @Test
  void refusesRequestsBeforeTheirCallersLeave() {
    AccountFleet.Instance instance = fleet.instance(1);
    instance.port.behaviour(Behaviour.MISPLACED);
    instance.request("herring", TOTAL / 4);
    fleet.run(AccountFleet.CALLER_TIMEOUT.minusMillis(100));
    assertEquals(1, instance.refusals.size());
  }

  /**
   * Guards against a customer that stays refused although its total is raised. All processes were
   * killed, and a note was overwritten by bytes that say nothing.
   */
  @Test
  void servesARaisedTotalAfterAnUnreadableNote() {
    spendMostOfTheTotalAtInstance1();
    fleet.stop(0);
    fleet.stop(1);
    fleet.overwriteNote(1, UNREADABLE);
    fleet.run(SETTLE_TIME);
    fleet.restart(0);
    fleet.restart(1);
    fleet.run(SETTLE_TIME);
    fleet.total += TOTAL;
    fleet.run(SETTLE_TIME);
    fleet.instance(0).request(TOTAL / 2);
    fleet.run(SETTLE_TIME);
    assertEquals(1, fleet.instance(0).grantedRequests);
  }

  /**
   * Guards against callers of all customers that are refused because the numbers of one customer's
   * account are out of range.
   */
  @Test
  void writesNotesOfOtherCustomersBesideAnAccountThatIsOutOfRange() {
    AccountFleet.Instance instance = fleet.instance(0);
    instance.accounts.addDrawn(AccountFleet.CUSTOMER, Long.MAX_VALUE);
    instance.accounts.addDrawn(AccountFleet.CUSTOMER, Long.MAX_VALUE);
    instance.request("ferry", TOTAL / 2);
    fleet.run(SETTLE_TIME);
    assertTrue(
        instance.reserved.stream().anyMatch(granted -> granted.customer().equals("ferry")),
        "the request of the other customer was not granted");
  }

  /**
   * Guards against callers that are refused for good after a note was overwritten. Its instance
   * writes the note again immediately, and then callers are served.
   */
  @Test
  void servesAgainAfterAPeerHasRewrittenItsNote() {
    fleet.instance(0).port.behaviour(Behaviour.UNREACHABLE);
    fleet.overwriteNote(1, UNREADABLE);
    fleet.log.compact();
    fleet.run(SETTLE_TIME);
    fleet.instance(0).port.behaviour(Behaviour.NORMAL);
    fleet.run(SETTLE_TIME);
    fleet.instance(0).request(TOTAL / 2);
    fleet.run(SETTLE_TIME);
    assertEquals(1, fleet.instance(0).grantedRequests);
  }

  /**
   * Guards against two claims of more than half of the total that are both granted. While the first
   * instance's claim is on its way to the log, a foreign note with a claim appears under its key.
   * If that note decided the claim, the other instance's claim, which is granted in between, would
   * not be counted.
   */
  @Test
  void decidesAClaimOnlyByItsOwnNote() {
    for (int steps = 0; steps < 40; steps++) {
      AccountFleet racing = new AccountFleet(2, TOTAL);
      racing.run(Duration.ofMillis(10 * steps));
      racing.instance(0).port.behaviour(Behaviour.SLOW_APPENDS);
      racing.instance(0).request(TOTAL * 6 / 10);
      racing.run(Duration.ofMillis(10));
      racing.overwriteNote(0, note(0, 0, 1));
      racing.run(Duration.ofMillis(20));
      racing.instance(1).request(TOTAL * 6 / 10);
      racing.run(SETTLE_TIME);
      assertTrue(
          racing.givenTokens() <= TOTAL,
          "after %d steps both claims were granted".formatted(steps));
    }
  }

  /** Guards against sums that overflow and come out as negative. */
  @Test
  void toleratesNumbersThatOverflow() {
    spendMostOfTheTotalAtInstance1();
    fleet.stop(1);
    fleet.overwriteNote(1, note(Long.MAX_VALUE, Long.MAX_VALUE, 0));
    assertWithinTotalAfterRequest();
  }

  /** Writes arbitrary bytes under the notes' keys at arbitrary times, with and without restarts. */
  @Property(tries = 100, seed = "4711")
  void staysWithinTheTotalWhateverBytesAreWritten(
      @ForAll @Size(min = 1, max = 6) List<@Size(max = 40) byte[]> values, @ForAll long seed) {
    AccountFleet randomFleet = new AccountFleet(3, TOTAL);
    Random random = new Random(seed);
    for (byte[] value : values) {
      for (AccountFleet.Instance instance : randomFleet.instances) {
        instance.request(TOTAL / 8 + random.nextInt((int) TOTAL / 4));
      }
      randomFleet.run(Duration.ofMillis(random.nextInt(500)));
      int overwritten = random.nextInt(3);
      randomFleet.overwriteNote(overwritten, value);
      if (random.nextBoolean()) {
        randomFleet.log.compact();
      }
      if (random.nextInt(3) == 0) {
        randomFleet.stop(overwritten);
        randomFleet.run(Duration.ofMillis(random.nextInt(500)));
        randomFleet.restart(overwritten);
      }
      randomFleet.run(Duration.ofMillis(random.nextInt(1_000)));
    }
    assertTrue(
        randomFleet.givenTokens() <= TOTAL, randomFleet.givenTokens() + " tokens were given");
  }

  private void spendMostOfTheTotalAtInstance1() {
    fleet.instance(1).request(TOTAL * 8 / 10);
    fleet.run(SETTLE_TIME);
    assertEquals(1, fleet.instance(1).grantedRequests);
    fleet.instance(1).settle(TOTAL * 8 / 10);
    fleet.run(SETTLE_TIME);
  }

  private void assertWithinTotalAfterRequest() {
    fleet.run(SETTLE_TIME);
    fleet.instance(0).request(TOTAL / 2);
    fleet.run(SETTLE_TIME);
    assertTrue(
        fleet.givenTokens() <= TOTAL,
        "%d of %d tokens were given".formatted(fleet.givenTokens(), TOTAL));
  }

  /** Returns a note of the newest layout in which all other numbers are 0. */
  private static byte[] note(long spent, long held, long claimed) {
    return ByteBuffer.allocate(1 + 12 * Long.BYTES)
        .put((byte) 4)
        .putLong(spent)
        .putLong(0)
        .putLong(held)
        .putLong(0)
        .putLong(claimed)
        .array();
  }
}
