package org.teaseldeal.bench.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.bench.fault.HistoryEvent.Change;
import org.teaseldeal.bench.fault.HistoryEvent.End;

/**
 * Adds one violation to a history that keeps all promises, and expects the check of that promise to
 * report it. A check that overlooks violations would make every fault simulation pass.
 */
class PromiseTests {
  private static final String REQUEST = "k-1";
  private final History history = new History();

  @BeforeEach
  void recordAHistoryThatKeepsAllPromises() {
    history.add(new HistoryEvent.Lifecycle(0, "r1-run1", Change.STARTED));
    history.add(new HistoryEvent.RevisionInForce(0, "r1-run1", 2));
    history.add(new HistoryEvent.TokensGranted(0, "wool", 1_000));
    send(1, "bids", "lot-4", false);
    history.add(new HistoryEvent.RunStarted(5, "desk-a", REQUEST));
    endWithCompleteAnswer(1, REQUEST, "done lot-4");
    history.add(new HistoryEvent.Charged(REQUEST, 7));
    history.add(new HistoryEvent.TokensUsed("all", 7));
    history.add(new HistoryEvent.Balance("wool", 1_000, 7, 0, 100, 893));
  }

  private void send(int call, String service, String key, boolean idempotent) {
    history.add(new HistoryEvent.Sent(call, call, "r1-run1", service, key, idempotent));
  }

  private void endWithCompleteAnswer(int call, String request, String... parts) {
    end(call, request, End.WHOLE, 1, null, parts);
  }

  private void end(
      int call,
      String request,
      End end,
      int ends,
      @org.jspecify.annotations.Nullable String run,
      String... parts) {
    String error = run == null ? null : "some-error";
    history.add(
        new HistoryEvent.Ended(call + 10, call, request, end, ends, List.of(parts), error, run, 0));
  }

  private void assertReported(String report) {
    assertEquals(List.of(report), Promise.allViolations(history));
  }

  @Test
  void reportsNothingForAHistoryThatKeepsAllPromises() {
    assertEquals(List.of(), Promise.allViolations(history));
  }

  @Test
  void readsAHistoryThatItWrote() {
    assertEquals(history.toLines(), History.ofLines(history.toLines()).toLines());
  }

  @Nested
  class NoOverspend {
    @Test
    void reportsUseBeyondTheGrantedTokens() {
      history.add(new HistoryEvent.TokensGranted(9, "wool", -994));
      assertEquals(
          List.of(
              "no-overspend: servers used 7 tokens of 6 granted",
              "no-overspend: the log shows 1000 granted, operators granted 6"),
          Promise.allViolations(history));
    }

    @Test
    void reportsUseThatTheLogDoesNotAccountFor() {
      history.add(new HistoryEvent.TokensUsed("lost", 200));
      assertReported("no-overspend: servers used 207 tokens, the log accounts for 107");
    }
  }

  @Nested
  class BilledOnce {
    @Test
    void reportsASecondCharge() {
      history.add(new HistoryEvent.Charged(REQUEST, 7));
      assertReported("billed-once: k-1 was charged 2 times");
    }

    @Test
    void reportsAnAnswerThatWasNotCharged() {
      send(2, "bids", "lot-5", false);
      endWithCompleteAnswer(2, "k-2", "done lot-5");
      assertReported("billed-once: k-2 was answered whole and not charged");
    }
  }

  @Nested
  class WholeOwnAnswer {
    @Test
    void reportsAnAnswerToAnotherCaller() {
      send(2, "bids", "lot-5", false);
      endWithCompleteAnswer(2, REQUEST, "done lot-4");
      assertReported("whole-own-answer: call 2 got parts of another answer: [done lot-4]");
    }

    @Test
    void reportsAStreamWithAFrameMissing() {
      send(2, "drafts", "d", true);
      endWithCompleteAnswer(
          2, REQUEST, "{\"frame\":0,\"of\":\"k-1\"}", "{\"frame\":2,\"of\":\"k-1\"}");
      assertReported(
          "whole-own-answer: call 2 got parts of another answer:"
              + " [{\"frame\":0,\"of\":\"k-1\"}, {\"frame\":2,\"of\":\"k-1\"}]");
    }

    @Test
    void reportsTwoAnswersToOneCall() {
      send(2, "bids", "lot-4", false);
      end(2, REQUEST, End.WHOLE, 2, null, "done lot-4");
      assertReported("whole-own-answer: call 2 got 2 final answers");
    }

    @Test
    void reportsACallThatNeverEnds() {
      send(2, "bids", "lot-5", false);
      assertReported("whole-own-answer: call 2 never ended");
    }
  }

  @Test
  void reportsANotRunRefusalOfARequestThatRan() {
    send(2, "bids", "lot-5", false);
    end(2, "k-2", End.REFUSED, 1, "not-run");
    history.add(new HistoryEvent.RunStarted(6, "desk-a", "k-2"));
    assertReported("true-refusals: call 2 was told not-run and ran: some-error");
  }

  @Test
  void reportsASecondRunOfANonIdempotentRequest() {
    history.add(new HistoryEvent.RunStarted(6, "desk-b", REQUEST));
    assertReported("at-most-once: k-1 ran 2 times");
  }

  @Test
  void reportsNewWorkForALeavingServer() {
    history.add(new HistoryEvent.ServerLeaving(100, "desk-a"));
    send(2, "rates", "r", true);
    history.add(new HistoryEvent.RunStarted(5_101, "desk-a", "k-2"));
    end(2, "k-2", End.REFUSED, 1, "unknown");
    assertReported("leaving-servers-rest: desk-a got work 5001 ms after it began to leave");
  }

  @Test
  void reportsACallThatADrainCutOff() {
    send(2, "bids", "lot-5", false);
    history.add(new HistoryEvent.Lifecycle(5, "r1-run1", Change.DRAINED));
    end(2, "", End.CONNECTION_LOST, 0, null);
    assertReported("drains-cut-nothing: call 2 was cut off by a drain");
  }

  @Nested
  class SettingsInForce {
    @Test
    void reportsARevisionThatWentBack() {
      history.add(new HistoryEvent.RevisionInForce(500, "r1-run1", 1));
      assertReported("settings-in-force: r1-run1 went back from revision 2 to 1");
    }

    @Test
    void reportsARevisionThatCameLate() {
      history.add(new HistoryEvent.SettingsPublished(1_000, "ops", 7, true));
      history.add(new HistoryEvent.RevisionInForce(5_001, "r1-run1", 7));
      assertReported(
          "settings-in-force: r1-run1 had revision 7 in force 4001 ms after it was published");
    }
  }
}
