package org.teaseldeal.gateway.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToLongFunction;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;

/**
 * Derives metrics from all events, including those whose lines are sampled out of the log.
 *
 * <p>Names end in their unit, {@code _us} for microseconds or {@code _tokens}. A name without a
 * unit is a count.
 */
public final class GatewayMetrics implements EventSink {
  private final MetricRegistry registry;
  private final Histogram requestDuration;
  private final Histogram tokenWait;
  private final Histogram loopDelay;
  private final Histogram appendDuration;
  private final AtomicLong planVersion = new AtomicLong();
  private final Map<String, Boolean> reachable = new ConcurrentHashMap<>();
  private final Map<String, GatewayEvent.AccountLevel> accounts = new ConcurrentHashMap<>();
  private final Map<String, String> counterNames = new HashMap<>();

  /** Creates metrics that are registered in {@code registry}. */
  public GatewayMetrics(MetricRegistry registry) {
    this.registry = registry;
    requestDuration = histogram("request_duration_us");
    tokenWait = histogram("request_token_wait_us");
    loopDelay = histogram("loop_delay_us");
    appendDuration = histogram("slowest_append_us");
    registry.gauge("plan_version", () -> planVersion::get);
    accountGauge("account_total_tokens", GatewayEvent.AccountLevel::total);
    accountGauge("account_taken_by_all_tokens", GatewayEvent.AccountLevel::taken);
    accountGauge("account_spent_here_tokens", GatewayEvent.AccountLevel::spentHere);
    accountGauge("account_lost_here_tokens", GatewayEvent.AccountLevel::lostHere);
    accountGauge("account_held_here_tokens", GatewayEvent.AccountLevel::heldHere);
    accountGauge("account_idle_here_tokens", GatewayEvent.AccountLevel::idleHere);
  }

  @Override
  public void accept(GatewayEvent event) {
    switch (event) {
      case GatewayEvent.Placed placed -> count(placed.attempt() == 1 ? "sends" : "repeats");
      case GatewayEvent.StreamTakenUp taken -> count("streams_taken_up_", taken.source());
      case GatewayEvent.StreamNotResumed refused -> count("streams_not_resumed_", refused.reason());
      case GatewayEvent.AttemptFailed failed -> count("attempts_failed_", failed.failure());
      case GatewayEvent.AttemptSuperseded superseded -> count("attempts_superseded");
      case GatewayEvent.AnswerReceived received -> count("answers_received_", received.match());
      case GatewayEvent.AnswerSkipped skipped -> count("answers_skipped");
      case GatewayEvent.AnswerEnded ended -> onAnswerEnded(ended);
      case GatewayEvent.RequestEnded ended -> onRequestEnded(ended);
      case GatewayEvent.WaitsForTokens waiting -> count("requests_that_waited_for_tokens");
      case GatewayEvent.WaitsForRoom waiting -> count("requests_that_waited_for_room");
      case GatewayEvent.PlanInForce plan -> planVersion.set(plan.version());
      case GatewayEvent.PlanUnreadable unreadable -> count("plans_unreadable");
      case GatewayEvent.TopicBehind behind -> count("reads_behind_", behind.topic());
      case GatewayEvent.ServerListed listed -> count("servers_listed_as_", listed.state());
      case GatewayEvent.ServerUnusable unusable -> count("servers_unusable_", unusable.reason());
      case GatewayEvent.ServerWarmUp warmUp ->
          count(warmUp.warmingUp() ? "server_warm_ups_begun" : "server_warm_ups_ended");
      case GatewayEvent.DataCentreEvacuation evacuation ->
          count(evacuation.evacuated() ? "evacuations_begun" : "evacuations_ended");
      case GatewayEvent.InstanceState state -> count("instance_states");
      case GatewayEvent.Dependency dependency -> onDependency(dependency);
      case GatewayEvent.ServerPath path ->
          count(path.reachable() ? "server_paths_regained" : "server_paths_lost");
      case GatewayEvent.ServersBrittle brittle ->
          count(brittle.brittle() ? "services_brittle" : "services_no_longer_brittle");
      case GatewayEvent.ServerRateLimit limit -> count("server_rate_limits_", limit.state());
      case GatewayEvent.ServerRateLimitUnreadable unreadable ->
          count("server_rate_limits_unreadable");
      case GatewayEvent.ServerLeaveAnnounced leave -> count("server_leaves_announced");
      case GatewayEvent.ServerPause pause -> count("server_pauses");
      case GatewayEvent.ServerStatementUnreadable unreadable ->
          count("server_statements_unreadable");
      case GatewayEvent.AccountLevel level -> accounts.put(level.customer(), level);
      case GatewayEvent.AccountTakenOver taken ->
          registry
              .counter("tokens_written_off")
              .inc(taken.setAside() + taken.freeAtOnce() + taken.released());
      case GatewayEvent.TokensDrawn drawn -> registry.counter("tokens_drawn").inc(drawn.tokens());
      case GatewayEvent.FleetTraffic traffic -> onFleetTraffic(traffic);
      case GatewayEvent.CrashCounted counted -> count("crashes_counted_", counted.proof());
      case GatewayEvent.RequestQuarantined quarantined -> count("requests_quarantined");
      case GatewayEvent.PartsImplicated implicated ->
          count("crashes_with_prompt_parts_", implicated.proof());
      case GatewayEvent.PartQuarantined quarantined -> count("prompt_parts_quarantined");
      case GatewayEvent.PartCleared cleared -> count("prompt_parts_cleared");
      case GatewayEvent.AnsweredLate late -> count("requests_answered_late");
      case GatewayEvent.LoopStalled stalled -> count("loop_stalls");
      case GatewayEvent.HolderUnreachable unreachable -> count("holders_unreachable");
      case GatewayEvent.HandedOver handedOver -> count("requests_handed_over");
      case GatewayEvent.HandoverRefused refused -> count("handovers_refused");
      case GatewayEvent.HandoverLost lost -> count("handovers_lost");
      case GatewayEvent.HandoverTaken taken -> count("handovers_taken");
      case GatewayEvent.HandoverRejected rejected -> count("handovers_rejected");
      case GatewayEvent.LinesDropped dropped ->
          registry.counter("log_lines_dropped").inc(dropped.count());
    }
  }

  /** Counts a call to the platform's configuration store. */
  public void onStoreCall(String call, boolean succeeded) {
    count("store_" + call, succeeded ? "_done" : "_failed");
  }

  /** Records the delay of a tick of the event loop. */
  public void onLoopDelay(Duration late) {
    loopDelay.update(late.toNanos() / 1_000);
  }

  /** Registers a gauge whose value is computed whenever the metrics are read. */
  public void gauge(String name, Gauge<Long> value) {
    registry.gauge(name, () -> value);
  }

  private void onAnswerEnded(GatewayEvent.AnswerEnded ended) {
    count("answers_ended_by_", ended.end());
    if (ended.unfinishedBytes() > 0) {
      count("streams_ended_inside_event");
    }
  }

  private void onRequestEnded(GatewayEvent.RequestEnded ended) {
    count("requests_ended_", ended.outcome());
    requestDuration.update(ended.took().toNanos() / 1_000);
    tokenWait.update(ended.waited().toNanos() / 1_000);
  }

  private void onFleetTraffic(GatewayEvent.FleetTraffic traffic) {
    registry.counter("notes_written").inc(traffic.notesWritten());
    registry.counter("notes_heard").inc(traffic.notesHeard());
    registry.counter("peer_messages_sent").inc(traffic.messagesSent());
    registry.counter("peer_messages_heard").inc(traffic.messagesHeard());
    registry.counter("peer_octets_sent").inc(traffic.octetsSent());
    registry.counter("peer_octets_heard").inc(traffic.octetsHeard());
    appendDuration.update(traffic.slowestAppend().toNanos() / 1_000);
  }

  private void onDependency(GatewayEvent.Dependency dependency) {
    if (reachable.put(dependency.name(), dependency.reachable()) == null) {
      String name = "reachable_" + toMetricName(dependency.name());
      gauge(name, () -> reachable.getOrDefault(dependency.name(), true) ? 1L : 0L);
    }
    count(dependency.reachable() ? "dependencies_regained" : "dependencies_lost");
  }

  private Histogram histogram(String name) {
    return registry.histogram(
        name, () -> new Histogram(LockFreeExponentiallyDecayingReservoir.builder().build()));
  }

  private void accountGauge(String name, ToLongFunction<GatewayEvent.AccountLevel> part) {
    gauge(name, () -> accounts.values().stream().mapToLong(part).sum());
  }

  private void count(String name) {
    registry.counter(name).inc();
  }

  private void count(String name, String part) {
    registry.counter(counterNames.computeIfAbsent(name + part, GatewayMetrics::toMetricName)).inc();
  }

  private static String toMetricName(String name) {
    return name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "_");
  }
}
