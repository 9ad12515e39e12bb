package org.teaseldeal.router.backend;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.EventExecutor;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.SharedEventLoops;
import org.teaseldeal.router.json.Json;

/** Polls the load of every listed engine. */
public final class LoadPoller implements AutoCloseable {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client;
  private final Consumer<InstanceEvent> events;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final EventExecutor executor = SharedEventLoops.eventLoopGroup().next();

  /** The addresses of the polled engines. Accessed by {@code executor} only. */
  private final Map<BackendServerId, String> engines = new HashMap<>();

  private boolean closed;

  /** Creates a poller without engines; {@code events} receives the load reports. */
  public LoadPoller(
      HttpClient client,
      Consumer<InstanceEvent> events,
      InstantSource clock,
      RandomGenerator random) {
    this.client = client;
    this.events = events;
    this.clock = clock;
    this.random = random;
  }

  /** Replaces the set of polled engines. */
  public void setEngines(List<ListedServer> listed) {
    executor.execute(() -> replaceEngines(listed));
  }

  @Override
  public void close() {
    executor.execute(
        () -> {
          closed = true;
          engines.clear();
        });
  }

  private void replaceEngines(List<ListedServer> listed) {
    Set<BackendServerId> present =
        listed.stream().map(ListedServer::id).collect(Collectors.toSet());
    engines.keySet().retainAll(present);
    for (ListedServer server : listed) {
      if (!closed && engines.putIfAbsent(server.id(), server.address()) == null) {
        scheduleNextPoll(server.id());
      }
    }
  }

  /**
   * Schedules the next poll after 0.5 to 1.5 intervals. The jitter keeps the instances of a fleet
   * from polling an engine all at the same moment.
   */
  private void scheduleNextPoll(BackendServerId server) {
    long nanos = POLL_INTERVAL.toNanos();
    executor.schedule(() -> poll(server), nanos / 2 + random.nextLong(nanos), TimeUnit.NANOSECONDS);
  }

  private void poll(BackendServerId server) {
    String address = engines.get(server);
    if (address == null) {
      return;
    }
    client
        .fetch(new HttpCallRequest(address, "GET", "/load", Map.of(), new byte[0], POLL_TIMEOUT))
        .whenComplete(
            (answer, failure) -> {
              if (answer != null && answer.status() == 200) {
                publishLoad(server, answer);
              }
              executor.execute(() -> scheduleNextPoll(server));
            });
  }

  private void publishLoad(BackendServerId server, HttpAnswer answer) {
    try {
      ObjectNode load = Json.readObject(answer.body());
      Instant asOf = Instant.parse(load.path("as_of").asText(""));
      Duration age = Duration.between(asOf, clock.instant());
      events.accept(
          new InstanceEvent.LoadReported(
              server,
              Math.max(0, load.path("running").asInt(0)),
              Math.max(0, load.path("waiting").asInt(0)),
              Math.clamp(load.path("cache_use").asDouble(0), 0, 1),
              age.isNegative() ? Duration.ZERO : age));
    } catch (IllegalArgumentException | DateTimeException e) {
      // An unreadable report is ignored; the next poll follows within 1.5 intervals.
      return;
    }
  }
}
