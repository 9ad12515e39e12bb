package org.teaseldeal.router.platform;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.SharedEventLoops;
import org.teaseldeal.router.backend.PlainServiceAddresses;

/** Polls the platform's instance list and publishes it as events. */
public final class InstanceListPoller implements AutoCloseable {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final String address;
  private final Consumer<InstanceEvent> events;
  private final Consumer<List<ListedServer>> engineConsumer;
  private final PlainServiceAddresses plainAddresses;
  private final RandomGenerator random;
  private final Counter unreadableEntries;
  private volatile boolean closed;

  /**
   * Creates a poller that {@link #start} starts.
   *
   * @param address the {@code host:port} of the platform
   * @param events receives each list, or the failure to read it
   * @param engineConsumer receives the listed engines after each successful poll
   * @param plainAddresses the set that the addresses of listed plain services are added to
   */
  public InstanceListPoller(
      HttpClient client,
      String address,
      Consumer<InstanceEvent> events,
      Consumer<List<ListedServer>> engineConsumer,
      PlainServiceAddresses plainAddresses,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.client = client;
    this.address = address;
    this.events = events;
    this.engineConsumer = engineConsumer;
    this.plainAddresses = plainAddresses;
    this.random = random;
    this.unreadableEntries = metrics.counter("list_entries_unreadable");
  }

  /** Polls the list now, and schedules the next poll after each answer. */
  public void start() {
    if (closed) {
      return;
    }
    client
        .fetch(
            new HttpCallRequest(address, "GET", "/instances", Map.of(), new byte[0], POLL_TIMEOUT))
        .whenComplete(
            (answer, failure) -> {
              handleAnswer(answer, failure);
              scheduleNextPoll();
            });
  }

  @Override
  public void close() {
    closed = true;
  }

  private void scheduleNextPoll() {
    long nanos = POLL_INTERVAL.toNanos();
    SharedEventLoops.eventLoopGroup()
        .schedule(this::start, nanos * 3 / 4 + random.nextLong(nanos / 2), TimeUnit.NANOSECONDS);
  }

  private void handleAnswer(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (answer == null || answer.status() != 200) {
      events.accept(
          new InstanceEvent.PlatformListReadFailed(
              answer == null
                  ? String.valueOf(failure)
                  : "the platform answered " + answer.status()));
      return;
    }
    InstanceList list;
    try {
      list = InstanceList.read(answer.body());
    } catch (IllegalArgumentException e) {
      events.accept(new InstanceEvent.PlatformListReadFailed(String.valueOf(e.getMessage())));
      return;
    }
    unreadableEntries.inc(list.unreadableEntries());
    list.services().forEach(service -> plainAddresses.add(service.address()));
    list.engines().forEach(engine -> plainAddresses.remove(engine.address()));
    engineConsumer.accept(list.engines());
    events.accept(new InstanceEvent.PlatformListRead(list.routers(), list.servers()));
  }
}
