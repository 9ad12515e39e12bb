package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Joins the attempts of callers to requests: one that was refused or failed may have come back, and
 * what became of it then counts.
 */
final class RequestChains {
  /** A caller that comes back does so within its deadline. */
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(15);

  private final Map<String, List<AttemptRecord>> byFingerprint = new HashMap<>();
  private final List<AttemptRecord> alone = new ArrayList<>();

  void add(AttemptRecord attempt) {
    if (attempt.fingerprint().isEmpty()) {
      alone.add(attempt);
    } else {
      byFingerprint.computeIfAbsent(attempt.fingerprint(), name -> new ArrayList<>(1)).add(attempt);
    }
  }

  /** Tells each request: its first attempt, with the verdict on all of them. */
  void forEach(Consumer<AttemptRecord> requests) {
    alone.forEach(requests);
    for (List<AttemptRecord> attempts : byFingerprint.values()) {
      attempts.sort(Comparator.comparing(AttemptRecord::arrived));
      AttemptRecord request = attempts.getFirst();
      for (AttemptRecord next : attempts.subList(1, attempts.size())) {
        if (comesBack(request, next)) {
          request = joined(request, next);
        } else {
          requests.accept(request);
          request = next;
        }
      }
      requests.accept(request);
    }
  }

  private static boolean comesBack(AttemptRecord before, AttemptRecord next) {
    boolean unserved = before.verdict() == Verdict.REFUSED || before.verdict() == Verdict.FAILED;
    return unserved && next.arrived().isBefore(before.ended().plus(LONGEST_PAUSE));
  }

  private static AttemptRecord joined(AttemptRecord first, AttemptRecord next) {
    Verdict verdict = first.verdict().better(next.verdict());
    boolean served = verdict == Verdict.IN_TIME || verdict == Verdict.LATE;
    AttemptRecord told = served && next.verdict() == Verdict.LATE ? next : first;
    return new AttemptRecord(
        first.fingerprint(),
        first.kind().isEmpty() ? next.kind() : first.kind(),
        first.customer().isEmpty() ? next.customer() : first.customer(),
        told.instance(),
        told.dataCentre(),
        first.arrived(),
        next.ended(),
        verdict,
        told.cause(),
        told.beliefAge());
  }
}
