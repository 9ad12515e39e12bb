package org.teaseldeal.operator.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.state.InstanceView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.operator.fleet.PlatformList.Listing;
import org.teaseldeal.operator.session.CatchUpResult;
import org.teaseldeal.operator.session.LedgerSession;

/**
 * Waits until a record of the ledger is in force at every live instance.
 *
 * <p>Live is who stands on the platform's list, and who joined the ledger and wrote to it lately:
 * the list lags, and an instance that has just started may not be on it yet. An instance has the
 * record in force once it has folded the record's offset. That is taken from its admin listener or,
 * as a proof that needs no connection, from what its own later records say.
 */
public final class InForceWatch {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /** Longer than the platform's list lags, short enough not to wait for instances long dead. */
  private static final Duration RECENT_RECORD_AGE = Duration.ofSeconds(60);

  private final PlatformList list;
  private final AdminClient admin;
  private final LedgerSession session;
  private final InstantSource clock;

  /** Creates a watch. */
  public InForceWatch(
      PlatformList list, AdminClient admin, LedgerSession session, InstantSource clock) {
    this.list = list;
    this.admin = admin;
    this.session = session;
    this.clock = clock;
  }

  /** One live instance and how far it is. */
  public record InstanceProgress(String instance, String incarnation, FoldProgress progress) {}

  /** How far a record is in force. */
  public record InForceStatus(
      List<InstanceProgress> inForce,
      List<InstanceProgress> lagging,
      Optional<String> listProblem) {
    public InForceStatus {
      inForce = List.copyOf(inForce);
      lagging = List.copyOf(lagging);
    }

    /** Whether every live instance is known to have the record in force. */
    public boolean everywhere() {
      return lagging.isEmpty() && listProblem.isEmpty();
    }
  }

  /** Asks until the record at {@code offset} is in force everywhere or {@code limit} is over. */
  public InForceStatus await(StreamId stream, long offset, Duration limit) {
    Instant deadline = clock.instant().plus(limit);
    while (true) {
      InForceStatus inForce = check(stream, offset);
      if (inForce.everywhere() || !clock.instant().isBefore(deadline) || !sleepBetweenChecks()) {
        return inForce;
      }
    }
  }

  private InForceStatus check(StreamId stream, long offset) {
    Map<IncarnationId, InstanceView> joined = recentlyJoined();
    return switch (list.read()) {
      case Listing.Unreachable(String detail) ->
          new InForceStatus(List.of(), List.of(), Optional.of(detail));
      case Listing.Found(List<ListedInstance> routers) -> check(routers, joined, stream, offset);
    };
  }

  private InForceStatus check(
      List<ListedInstance> routers,
      Map<IncarnationId, InstanceView> joined,
      StreamId stream,
      long offset) {
    // All are asked at once: one that doesn't answer must not hold up what is known of others.
    List<CompletableFuture<InstanceProgress>> asked = new ArrayList<>();
    for (ListedInstance router : routers) {
      OptionalLong written = recordedOffset(joined.remove(router.incarnation()));
      asked.add(
          queryProgress(router, stream, offset, written)
              .thenApply(
                  folded ->
                      new InstanceProgress(
                          router.instance().name(), router.incarnation().value(), folded)));
    }
    List<InstanceProgress> sights = new ArrayList<>();
    asked.forEach(sight -> sights.add(sight.join()));
    joined.values().forEach(view -> sights.add(unlistedProgress(view)));
    Map<Boolean, List<InstanceProgress>> sorted =
        sights.stream().collect(Collectors.partitioningBy(s -> s.progress().reaches(offset)));
    return new InForceStatus(
        sorted.getOrDefault(true, List.of()),
        sorted.getOrDefault(false, List.of()),
        Optional.empty());
  }

  private CompletableFuture<FoldProgress> queryProgress(
      ListedInstance router, StreamId stream, long offset, OptionalLong written) {
    FoldProgress byRecord = new FoldProgress(written, "has registered no admin address");
    if (byRecord.reaches(offset)) {
      return CompletableFuture.completedFuture(new FoldProgress(written, ""));
    }
    return router
        .adminAddress()
        .map(
            address ->
                admin.foldProgress(address, stream).thenApply(f -> f.orElseRecorded(written)))
        .orElseGet(() -> CompletableFuture.completedFuture(byRecord));
  }

  private static InstanceProgress unlistedProgress(InstanceView view) {
    return new InstanceProgress(
        view.instance().name(),
        view.incarnation().value(),
        new FoldProgress(
            OptionalLong.of(view.foldedTo()), "joined, but isn't on the platform's list yet"));
  }

  /** Instances that joined the ledger, without those that neither are listed nor wrote lately. */
  private Map<IncarnationId, InstanceView> recentlyJoined() {
    Map<IncarnationId, InstanceView> joined = new HashMap<>();
    if (session.catchUp() instanceof CatchUpResult.Done(LedgerState state)) {
      Instant recent = state.logTime().minus(RECENT_RECORD_AGE);
      state.instances().stream()
          .filter(view -> view.lastRecordAt().isAfter(recent))
          .forEach(view -> joined.put(view.incarnation(), view));
    }
    return joined;
  }

  private static OptionalLong recordedOffset(@Nullable InstanceView view) {
    return view == null ? OptionalLong.empty() : OptionalLong.of(view.foldedTo());
  }

  private static boolean sleepBetweenChecks() {
    try {
      Thread.sleep(CHECK_INTERVAL.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
