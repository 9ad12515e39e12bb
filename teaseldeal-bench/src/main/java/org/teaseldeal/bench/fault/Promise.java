package org.teaseldeal.bench.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.bench.fault.HistoryEvent.Balance;
import org.teaseldeal.bench.fault.HistoryEvent.Change;
import org.teaseldeal.bench.fault.HistoryEvent.Charged;
import org.teaseldeal.bench.fault.HistoryEvent.End;
import org.teaseldeal.bench.fault.HistoryEvent.Ended;
import org.teaseldeal.bench.fault.HistoryEvent.FaultInjected;
import org.teaseldeal.bench.fault.HistoryEvent.HungUp;
import org.teaseldeal.bench.fault.HistoryEvent.Lifecycle;
import org.teaseldeal.bench.fault.HistoryEvent.RevisionInForce;
import org.teaseldeal.bench.fault.HistoryEvent.RunStarted;
import org.teaseldeal.bench.fault.HistoryEvent.Sent;
import org.teaseldeal.bench.fault.HistoryEvent.ServerLeaving;
import org.teaseldeal.bench.fault.HistoryEvent.SettingsPublished;
import org.teaseldeal.bench.fault.HistoryEvent.TokensGranted;
import org.teaseldeal.bench.fault.HistoryEvent.TokensUsed;

/** The guarantees of the product. Each is a check that finds the violations in a history. */
public enum Promise {
  /** Total spend never exceeds the prepaid budget, and the budget in the log is balanced. */
  NO_OVERSPEND {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      long granted = history.all(TokensGranted.class).mapToLong(TokensGranted::tokens).sum();
      long used = history.all(TokensUsed.class).mapToLong(TokensUsed::tokens).sum();
      if (used > granted) {
        found.add("servers used %d tokens of %d granted".formatted(used, granted));
      }
      for (Balance balance : history.all(Balance.class).toList()) {
        long held = balance.charged() + balance.writtenOff() + balance.leased();
        if (balance.granted() != held + balance.remaining() || balance.remaining() < 0) {
          found.add("the budget does not add up: " + balance);
        }
        if (balance.granted() != granted) {
          found.add(
              "the log shows %d granted, operators granted %d"
                  .formatted(balance.granted(), granted));
        }
        if (used > held) {
          found.add("servers used %d tokens, the log accounts for %d".formatted(used, held));
        }
      }
      return found;
    }
  },

  /** Each request is billed exactly once. */
  BILLED_ONCE {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      Map<String, Integer> charges = new HashMap<>();
      history.all(Charged.class).forEach(c -> charges.merge(c.request(), 1, Integer::sum));
      charges.forEach(
          (request, count) -> {
            if (count > 1) {
              found.add("%s was charged %d times".formatted(request, count));
            }
          });
      Map<Integer, Sent> sent = sentByCall(history);
      Set<String> ended = killedOrRetired(history);
      history
          .all(Ended.class)
          .filter(end -> end.end() == End.WHOLE && !charges.containsKey(end.request()))
          // When an instance is killed, charges that have reached neither the log nor a peer are
          // lost. PROOFS.md states how often that happens.
          .filter(end -> ended.isEmpty() || !mayLoseCharges(sent.get(end.call()), ended))
          .forEach(
              end -> found.add("%s was answered whole and not charged".formatted(end.request())));
      return found;
    }
  },

  /** A caller receives the complete answer to its own request exactly once. */
  WHOLE_OWN_ANSWER {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      Map<Integer, Sent> sent = sentByCall(history);
      Set<Integer> open = new HashSet<>(sent.keySet());
      history.all(HungUp.class).forEach(each -> open.remove(each.call()));
      for (Ended end : history.all(Ended.class).toList()) {
        open.remove(end.call());
        if (end.ends() > 1) {
          found.add("call %d got %d final answers".formatted(end.call(), end.ends()));
        }
        Sent request = sent.get(end.call());
        if (request != null && !hasOwnParts(request, end)) {
          found.add("call %d got parts of another answer: %s".formatted(end.call(), end.parts()));
        }
      }
      open.forEach(call -> found.add("call %d never ended".formatted(call)));
      return found;
    }
  },

  /** A request whose refusal says that it was not run has not been run. */
  TRUE_REFUSALS {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      Map<String, Integer> runs = runsByRequest(history);
      // Calls with the same key are one request. A caller that receives "not-run" may send the
      // request again under another key, so the statement has to hold for every attempt.
      for (Ended end : history.all(Ended.class).toList()) {
        if ("not-run".equals(end.run()) && runs.containsKey(end.request())) {
          found.add("call %d was told not-run and ran: %s".formatted(end.call(), end.error()));
        }
      }
      return found;
    }
  },

  /** A non-idempotent request runs at most once. */
  AT_MOST_ONCE {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      Map<String, Integer> runs = runsByRequest(history);
      Map<Integer, Sent> sent = sentByCall(history);
      Set<String> nonIdempotent = new HashSet<>();
      history
          .all(Ended.class)
          .filter(end -> !idempotent(sent.get(end.call())))
          .forEach(end -> nonIdempotent.add(end.request()));
      // The caller of a call without an answer does not know its request id. The id derives from
      // the key, so an answered call with the same key has the same id.
      runs.forEach(
          (request, count) -> {
            if (count > 1 && nonIdempotent.contains(request)) {
              found.add("%s ran %d times".formatted(request, count));
            }
          });
      return found;
    }
  },

  /** A backend server that is leaving receives no new requests after a few seconds. */
  LEAVING_SERVERS_REST {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      Map<String, Long> leaving = new HashMap<>();
      history
          .all(ServerLeaving.class)
          .forEach(each -> leaving.putIfAbsent(each.server(), each.at()));
      history
          .all(RunStarted.class)
          .filter(run -> leaving.containsKey(run.server()))
          .filter(
              run ->
                  run.at()
                      > leaving.getOrDefault(run.server(), 0L) + MAX_NEW_WORK_AFTER_LEAVING_MILLIS)
          .forEach(
              run ->
                  found.add(
                      "%s got work %d ms after it began to leave"
                          .formatted(
                              run.server(), run.at() - leaving.getOrDefault(run.server(), 0L))));
      return found;
    }
  },

  /** A graceful shutdown cuts off no request in flight. */
  DRAINS_CUT_NOTHING {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      Set<String> drained = incarnations(history, Change.DRAINED);
      Set<String> killed = incarnations(history, Change.KILLED);
      Map<Integer, Sent> sent = sentByCall(history);
      for (Ended end : history.all(Ended.class).toList()) {
        Sent request = sent.get(end.call());
        if (request != null
            && end.end() == End.CONNECTION_LOST
            && drained.contains(request.instance())
            && !killed.contains(request.instance())) {
          found.add("call %d was cut off by a drain".formatted(end.call()));
        }
      }
      return found;
    }
  },

  /** An accepted configuration is in force everywhere within seconds and never reverts. */
  SETTINGS_IN_FORCE {
    @Override
    public List<String> violations(History history) {
      List<String> found = new ArrayList<>();
      Map<String, Long> revisions = new HashMap<>();
      long last = 0;
      for (RevisionInForce each : history.all(RevisionInForce.class).toList()) {
        long before = revisions.getOrDefault(each.incarnation(), 0L);
        if (each.revision() < before) {
          found.add(
              "%s went back from revision %d to %d"
                  .formatted(each.incarnation(), before, each.revision()));
        }
        revisions.put(each.incarnation(), each.revision());
        last = Math.max(last, each.at());
      }
      Map<Long, Long> publishedAt = new TreeMap<>();
      history
          .all(SettingsPublished.class)
          .filter(SettingsPublished::accepted)
          .forEach(each -> publishedAt.put(each.revision(), each.at()));
      publishedAt.forEach((revision, at) -> checkPropagation(history, revision, at, found));
      return found;
    }

    private void checkPropagation(History history, long revision, long at, List<String> found) {
      Map<String, Long> since = new HashMap<>();
      history
          .all(RevisionInForce.class)
          .filter(each -> each.revision() >= revision)
          .forEach(each -> since.putIfAbsent(each.incarnation(), each.at()));
      // A fault can delay the instances that it affects, so the bound counts from the end of the
      // last fault.
      long lastFaultEnd =
          history
              .all(FaultInjected.class)
              .mapToLong(each -> each.at() + each.lasting())
              .max()
              .orElse(0);
      Map<String, Long> started = new HashMap<>();
      history
          .all(Lifecycle.class)
          .filter(each -> each.change() == Change.STARTED)
          .forEach(each -> started.put(each.incarnation(), each.at()));
      since.forEach(
          (incarnation, when) -> {
            long from = Math.max(at, started.getOrDefault(incarnation, 0L));
            if (when > Math.max(from, lastFaultEnd) + MAX_PROPAGATION_MILLIS) {
              found.add(
                  "%s had revision %d in force %d ms after it was published"
                      .formatted(incarnation, revision, when - at));
            }
          });
    }
  };

  private static final long MAX_NEW_WORK_AFTER_LEAVING_MILLIS = 5_000;
  private static final long MAX_PROPAGATION_MILLIS = 4_000;

  /** Returns the violations of this promise in a history; an empty list means that it held. */
  public abstract List<String> violations(History history);

  /** Returns the name that is used in reports. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the violations of all promises, each prefixed with the promise's name. */
  public static List<String> allViolations(History history) {
    List<String> found = new ArrayList<>();
    for (Promise promise : values()) {
      promise.violations(history).forEach(each -> found.add(promise.label() + ": " + each));
    }
    return found;
  }

  private static Map<Integer, Sent> sentByCall(History history) {
    Map<Integer, Sent> sent = new TreeMap<>();
    history.all(Sent.class).forEach(each -> sent.put(each.call(), each));
    return sent;
  }

  private static Map<String, Integer> runsByRequest(History history) {
    Map<String, Integer> runs = new TreeMap<>();
    history.all(RunStarted.class).forEach(run -> runs.merge(run.request(), 1, Integer::sum));
    return runs;
  }

  private static Set<String> incarnations(History history, Change change) {
    Set<String> incarnations = new HashSet<>();
    history
        .all(Lifecycle.class)
        .filter(each -> each.change() == change)
        .forEach(each -> incarnations.add(each.incarnation()));
    return incarnations;
  }

  private static Set<String> killedOrRetired(History history) {
    Set<String> ended = incarnations(history, Change.KILLED);
    ended.addAll(incarnations(history, Change.RETIRED));
    return ended;
  }

  private static boolean mayLoseCharges(@Nullable Sent sent, Set<String> ended) {
    return sent == null || ended.contains(sent.instance());
  }

  private static boolean idempotent(@Nullable Sent sent) {
    return sent == null || sent.idempotent();
  }

  private static boolean hasOwnParts(Sent request, Ended end) {
    boolean plain = request.service().equals("bids") || request.service().equals("rates");
    if (plain) {
      String own = "done " + (request.key() == null ? "-" : request.key());
      return end.parts().stream().allMatch(own::equals);
    }
    if (end.end() == End.WHOLE && end.parts().size() != FRAMES_PER_ANSWER) {
      return false;
    }
    for (int i = 0; i < end.parts().size(); i++) {
      String own = "{\"frame\":%d,\"of\":\"%s\"}".formatted(i, end.request());
      if (!end.parts().get(i).equals(own)) {
        return false;
      }
    }
    return true;
  }

  /** The number of frames of each model answer in the simulated fleet. */
  private static final int FRAMES_PER_ANSWER = 5;
}
