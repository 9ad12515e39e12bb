package org.teaseldeal.bench.fault;

import java.util.Map;
import java.util.TreeMap;
import org.teaseldeal.bench.fault.HistoryEvent.Balance;
import org.teaseldeal.bench.fault.HistoryEvent.End;
import org.teaseldeal.bench.fault.HistoryEvent.Ended;
import org.teaseldeal.bench.fault.HistoryEvent.TokensGranted;
import org.teaseldeal.bench.fault.HistoryEvent.TokensUsed;

/**
 * The summary of an executed plan.
 *
 * @param refused the number of refusals by cause
 * @param falseRefusals the number of requests that were refused for lack of tokens although the
 *     ledger and the live instances together held at least twice a request's worst case unreserved
 */
record FaultSummary(
    int requests,
    int complete,
    Map<String, Integer> refused,
    int falseRefusals,
    long overspend,
    long stranded,
    long appends) {
  /** The worst case of a request's token use in the simulated fleet. */
  private static final long WORST_CASE_TOKENS = 100;

  static FaultSummary of(FaultRun.Result result) {
    History history = result.history();
    Map<String, Integer> refused = new TreeMap<>();
    history
        .all(Ended.class)
        .filter(end -> end.end() == End.REFUSED)
        .forEach(end -> refused.merge(String.valueOf(end.error()), 1, Integer::sum));
    long granted = history.all(TokensGranted.class).mapToLong(TokensGranted::tokens).sum();
    long used = history.all(TokensUsed.class).mapToLong(TokensUsed::tokens).sum();
    long falseRefusals =
        history.all(Ended.class).filter(end -> end.freeTokens() >= 2 * WORST_CASE_TOKENS).count();
    return new FaultSummary(
        (int) history.all(HistoryEvent.Sent.class).count(),
        (int) history.all(Ended.class).filter(end -> end.end() == End.WHOLE).count(),
        refused,
        (int) falseRefusals,
        Math.max(0, used - granted),
        history.all(Balance.class).mapToLong(b -> b.leased() + b.writtenOff()).sum(),
        result.cost().appends());
  }
}
