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
 * <p>An instance is live if the platform lists it, or if it joined the ledger and wrote a record
 * recently: the platform's list lags, so an instance that has just started may not be listed yet. A
 * record is in force at an instance once the instance has folded the record's offset. This is read
 * from the instance's admin listener or, without a connection, proved by the offset in later
 * records of the instance.
 */
public final class InForceWatch {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * Longer than the lag of the platform's list, and short enough not to wait for instances that
   * ended long ago.
   */
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

  /** The progress of one live instance. */
  public record InstanceProgress(String instance, String incarnation, FoldProgress progress) {}

  /**
   * The progress of a record through the fleet.
   *
   * @param inForce the instances at which the record is known to be in force
   * @param lagging the other live instances
   * @param listProblem why the platform's list couldn't be read; empty if it was read
   */
  public record InForceStatus(
      List<InstanceProgress> inForce,
      List<InstanceProgress> lagging,
      Optional<String> listProblem) {
    public InForceStatus {
      inForce = List.copyOf(inForce);
      lagging = List.copyOf(lagging);
    }

    /** Returns whether the record is known to be in force at every live instance. */
    public boolean everywhere() {
      return lagging.isEmpty() && listProblem.isEmpty();
    }
  }

  /**
   * Checks repeatedly until the record at {@code offset} is in force everywhere or {@code timeout}
   * has passed.
   */
  public InForceStatus await(StreamId stream, long offset, Duration timeout) {
    Instant deadline = clock.instant().plus(timeout);
    while (true) {
      InForceStatus status = check(stream, offset);
      if (status.everywhere() || !clock.instant().isBefore(deadline) || !sleepBetweenChecks()) {
        return status;
      }
    }
  }

  private InForceStatus check(StreamId stream, long offset) {
    Map<IncarnationId, InstanceView> joined = recentlyJoined();
    return switch (list.read()) {
      case Listing.Unreachable(String detail) ->
          new InForceStatus(List.of(), List.of(), Optional.of(detail));
      case Listing.Found(List<ListedInstance> listed) -> check(listed, joined, stream, offset);
    };
  }

  private InForceStatus check(
      List<ListedInstance> listed,
      Map<IncarnationId, InstanceView> joined,
      StreamId stream,
      long offset) {
    // All instances are queried concurrently, so that an instance that does not respond does not
    // delay the results of the others.
    List<CompletableFuture<InstanceProgress>> queries = new ArrayList<>();
    for (ListedInstance instance : listed) {
      OptionalLong recorded = recordedOffset(joined.remove(instance.incarnation()));
      queries.add(
          queryProgress(instance, stream, offset, recorded)
              .thenApply(
                  folded ->
                      new InstanceProgress(
                          instance.instance().name(), instance.incarnation().value(), folded)));
    }
    List<InstanceProgress> progresses = new ArrayList<>();
    queries.forEach(query -> progresses.add(query.join()));
    joined.values().forEach(view -> progresses.add(unlistedProgress(view)));
    Map<Boolean, List<InstanceProgress>> byInForce =
        progresses.stream().collect(Collectors.partitioningBy(s -> s.progress().reaches(offset)));
    return new InForceStatus(
        byInForce.getOrDefault(true, List.of()),
        byInForce.getOrDefault(false, List.of()),
        Optional.empty());
  }

  private CompletableFuture<FoldProgress> queryProgress(
      ListedInstance instance, StreamId stream, long offset, OptionalLong recorded) {
    FoldProgress fromRecords = new FoldProgress(recorded, "has registered no admin address");
    if (fromRecords.reaches(offset)) {
      return CompletableFuture.completedFuture(new FoldProgress(recorded, ""));
    }
    return instance
        .adminAddress()
        .map(
            address ->
                admin.foldProgress(address, stream).thenApply(f -> f.orElseRecorded(recorded)))
        .orElseGet(() -> CompletableFuture.completedFuture(fromRecords));
  }

  private static InstanceProgress unlistedProgress(InstanceView view) {
    return new InstanceProgress(
        view.instance().name(),
        view.incarnation().value(),
        new FoldProgress(
            OptionalLong.of(view.foldedTo()), "joined, but isn't on the platform's list yet"));
  }

  /**
   * Returns the instances that joined the ledger and wrote a record recently. If the ledger cannot
   * be read, the result is empty.
   */
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
