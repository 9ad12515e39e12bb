package org.teaseldeal.gateway.event;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes events as JSON lines from a thread of its own.
 *
 * <p>The buffer is bounded: whoever reads the output may be slow, and the thread that serves
 * callers must not wait for it. Lines that don't fit are dropped and counted, and the count is
 * written as soon as there is room.
 *
 * <p>The lines of requests that were answered at once are kept up to {@link #ALL_KEPT} a second;
 * beyond it, for one in {@link #SAMPLED} requests, the same at every instance. Those of all others
 * are always kept.
 */
public final class EventLog implements EventSink {
  /** Lines that wait: about a second of a busy instance with every line kept. */
  private static final int CAPACITY = 2048;

  /** One in eight leaves some two lines a second of a busy instance's served requests. */
  private static final int SAMPLED = 8;

  /** A second's lines of which none is left out: some hundred octets each. */
  private static final int ALL_KEPT = 32;

  private static final Duration IDLE_WAIT = Duration.ofMillis(500);

  /**
   * A line takes well under a millisecond, the first one some hundreds, as classes are loaded for
   * it; if nobody reads the output, waiting longer doesn't help.
   */
  private static final Duration LAST_WRITE = Duration.ofSeconds(1);

  private record Line(Instant time, GatewayEvent event) {}

  private final BlockingQueue<Line> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final Map<Class<?>, RecordComponent[]> components = new ConcurrentHashMap<>();
  private final PrintStream out;
  private final InstantSource clock;
  private final String instance;
  private final Thread writer = new Thread(this::writeAll, "event-log");
  private volatile boolean closed;
  private long second;
  private int keptInSecond;

  private EventLog(PrintStream out, InstantSource clock, String instance) {
    this.out = out;
    this.clock = clock;
    this.instance = instance;
  }

  /** Starts a log of {@code instance}; {@code clock} shows the time of day. */
  public static EventLog start(PrintStream out, InstantSource clock, String instance) {
    EventLog log = new EventLog(out, clock, instance);
    log.writer.setDaemon(true);
    log.writer.start();
    return log;
  }

  @Override
  public void accept(GatewayEvent event) {
    Instant now = clock.instant();
    if (ofServedRequest(event) && beyondAllKept(now) && sampledOut(event)) {
      return;
    }
    if (!lines.offer(new Line(now, event))) {
      dropped.incrementAndGet();
    }
  }

  /** Lines that wait to be written. */
  public int waiting() {
    return lines.size();
  }

  /** Lines that were dropped and not yet reported. */
  public long dropped() {
    return dropped.get();
  }

  /**
   * Writes what is left, as far as it can be written soon.
   *
   * <p>The writer may have taken a line from the buffer that it has not written yet; without a wait
   * for it, the process would end before its last lines, those of its stop, are out.
   */
  public void close() {
    closed = true;
    awaitWriter();
    Line line;
    while ((line = lines.poll()) != null) {
      write(line);
    }
    out.flush();
  }

  private void awaitWriter() {
    // It may be waiting for a line.
    writer.interrupt();
    try {
      writer.join(LAST_WRITE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean ofServedRequest(GatewayEvent event) {
    return switch (event) {
      case GatewayEvent.Placed placed -> placed.attempt() == 1;
      case GatewayEvent.RequestEnded ended ->
          ended.outcome().equals("answered") && ended.attempts() == 1;
      default -> false;
    };
  }

  /**
   * Counts a line, and says whether the second has had all those that are kept whatever they say.
   */
  private boolean beyondAllKept(Instant now) {
    long current = now.getEpochSecond();
    if (second != current) {
      second = current;
      keptInSecond = 0;
    }
    keptInSecond++;
    return keptInSecond > ALL_KEPT;
  }

  private static boolean sampledOut(GatewayEvent event) {
    String request =
        switch (event) {
          case GatewayEvent.Placed placed -> placed.request();
          case GatewayEvent.RequestEnded ended -> ended.request();
          default -> "";
        };
    return Math.floorMod(request.hashCode(), SAMPLED) != 0;
  }

  private void writeAll() {
    try {
      while (!closed) {
        Line line = lines.poll(IDLE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        if (line != null) {
          write(line);
        }
        long lost = lines.isEmpty() ? dropped.getAndSet(0) : 0;
        if (lost > 0) {
          write(new Line(clock.instant(), new GatewayEvent.LinesDropped(lost)));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(Line line) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("time", line.time().toString());
    json.put("instance", instance);
    json.put("event", line.event().label());
    for (RecordComponent component : components(line.event())) {
      put(json, component, line.event());
    }
    byte[] bytes = (json + "\n").getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
  }

  private RecordComponent[] components(GatewayEvent event) {
    return components.computeIfAbsent(event.getClass(), Class::getRecordComponents);
  }

  private static void put(ObjectNode json, RecordComponent component, GatewayEvent event) {
    Object value;
    try {
      value = component.getAccessor().invoke(event);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("accessor of a public record can be called", e);
    }
    switch (value) {
      case Duration duration -> json.put(component.getName() + "_ms", duration.toNanos() / 1e6);
      case Integer number -> json.put(component.getName(), number);
      case Long number -> json.put(component.getName(), number);
      case Boolean flag -> json.put(component.getName(), flag);
      default -> json.put(component.getName(), String.valueOf(value));
    }
  }
}
