package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Groups the attempts of callers into requests. A caller may retry an attempt that was refused or
 * failed; the outcome of the retry is then the outcome of the request.
 */
final class RetryChains {
  /**
   * The longest time between the end of an attempt and its retry: callers retry within the deadline
   * of the request.
   */
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

  /**
   * Passes each request to {@code requests}: its first attempt, with the outcome of all its
   * attempts.
   */
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

  private static boolean isRetry(AttemptRecord previous, AttemptRecord next) {
    boolean unserved =
        previous.outcome() == AttemptOutcome.REFUSED || previous.outcome() == AttemptOutcome.FAILED;
    return unserved && next.arrived().isBefore(previous.ended().plus(MAX_RETRY_GAP));
  }

  private static AttemptRecord merge(AttemptRecord first, AttemptRecord next) {
    AttemptOutcome outcome = first.outcome().better(next.outcome());
    boolean served = outcome == AttemptOutcome.IN_TIME || outcome == AttemptOutcome.LATE;
    AttemptRecord decisive = served && next.outcome() == AttemptOutcome.LATE ? next : first;
    return new AttemptRecord(
        first.fingerprint(),
        first.kind().isEmpty() ? next.kind() : first.kind(),
        first.customer().isEmpty() ? next.customer() : first.customer(),
        decisive.instance(),
        decisive.dataCentre(),
        first.arrived(),
        next.ended(),
        outcome,
        decisive.cause(),
        decisive.stateAge());
  }
}
