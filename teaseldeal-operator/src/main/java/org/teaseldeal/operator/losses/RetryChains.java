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
final class RetryChains {
  /** A caller that comes back does so within its deadline. */
  private static final Duration MAX_RETRY_GAP = Duration.ofSeconds(15);

  private final Map<String, List<AttemptRecord>> byFingerprint = new HashMap<>();
  private final List<AttemptRecord> withoutFingerprint = new ArrayList<>();

  void add(AttemptRecord attempt) {
    if (attempt.fingerprint().isEmpty()) {
      withoutFingerprint.add(attempt);
    } else {
      byFingerprint.computeIfAbsent(attempt.fingerprint(), name -> new ArrayList<>(1)).add(attempt);
    }
  }

  /** Tells each request: its first attempt, with the verdict on all of them. */
  void forEach(Consumer<AttemptRecord> requests) {
    withoutFingerprint.forEach(requests);
    for (List<AttemptRecord> attempts : byFingerprint.values()) {
      attempts.sort(Comparator.comparing(AttemptRecord::arrived));
      AttemptRecord request = attempts.getFirst();
      for (AttemptRecord next : attempts.subList(1, attempts.size())) {
        if (isRetry(request, next)) {
          request = merge(request, next);
        } else {
          requests.accept(request);
          request = next;
        }
      }
      requests.accept(request);
    }
  }

  private static boolean isRetry(AttemptRecord before, AttemptRecord next) {
    boolean unserved =
        before.outcome() == AttemptOutcome.REFUSED || before.outcome() == AttemptOutcome.FAILED;
    return unserved && next.arrived().isBefore(before.ended().plus(MAX_RETRY_GAP));
  }

  private static AttemptRecord merge(AttemptRecord first, AttemptRecord next) {
    AttemptOutcome verdict = first.outcome().better(next.outcome());
    boolean served = verdict == AttemptOutcome.IN_TIME || verdict == AttemptOutcome.LATE;
    AttemptRecord told = served && next.outcome() == AttemptOutcome.LATE ? next : first;
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
        told.stateAge());
  }
}
