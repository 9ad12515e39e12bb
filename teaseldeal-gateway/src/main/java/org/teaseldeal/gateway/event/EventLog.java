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
import org.teaseldeal.net.AnswerMatch;

/**
 * Writes events as JSON lines from its own thread.
 *
 * <p>The buffer is bounded. The reader of the output may be slow, and the thread that serves
 * callers must not wait for it. Lines that don't fit are dropped and counted, and the count is
 * written as soon as there is room.
 *
 * <p>The lines of requests that were answered at the first attempt, and of requests that instances
 * hand over to each other without a failure, are written up to {@link #UNSAMPLED_LINES_PER_SECOND}
 * a second. Beyond that rate they are written for one in {@link #SAMPLING_DIVISOR} requests only,
 * which are the same ones at every instance. The lines of all other requests and events are always
 * written.
 */
public final class EventLog implements EventSink {
  /** The number of buffered lines: about a second of a busy instance without sampling. */
  private static final int BUFFERED_LINES = 2048;

  /**
   * The divisor of the sampling. One request in eight produces about two lines a second for the
   * served requests of a busy instance.
   */
  private static final int SAMPLING_DIVISOR = 8;

  /**
   * The rate in lines a second up to which no line is sampled out. A line has some hundred bytes.
   */
  private static final int UNSAMPLED_LINES_PER_SECOND = 32;

  private static final Duration IDLE_WAIT = Duration.ofMillis(500);

  /**
   * How long closing waits for the writer. A line takes well under a millisecond, the first line
   * some hundred milliseconds, as classes are loaded for it. If the output is not read at all, a
   * longer wait doesn't help.
   */
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

  private record Line(Instant time, GatewayEvent event) {}

  private final BlockingQueue<Line> lines = new ArrayBlockingQueue<>(BUFFERED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final Map<Class<?>, RecordComponent[]> components = new ConcurrentHashMap<>();
  private final PrintStream out;
  private final InstantSource clock;
  private final String instance;
  private final Thread writer = new Thread(this::writeAll, "event-log");
  private volatile boolean closed;
  private long currentSecond;
  private int linesInSecond;

  private EventLog(PrintStream out, InstantSource clock, String instance) {
    this.out = out;
    this.clock = clock;
    this.instance = instance;
  }

  /**
   * Starts a log.
   *
   * @param clock a clock that shows the time of day
   * @param instance the name of the instance, which is part of each line
   */
  public static EventLog start(PrintStream out, InstantSource clock, String instance) {
    EventLog log = new EventLog(out, clock, instance);
    log.writer.setDaemon(true);
    log.writer.start();
    return log;
  }

  @Override
  public void accept(GatewayEvent event) {
    Instant now = clock.instant();
    if (isOfServedRequest(event) && exceedsUnsampledRate(now) && isSampledOut(event)) {
      return;
    }
    if (!lines.offer(new Line(now, event))) {
      droppedLines.incrementAndGet();
    }
  }

  /** The number of lines that wait to be written. */
  public int pendingLines() {
    return lines.size();
  }

  /** The number of lines that were dropped and not yet reported in the log. */
  public long droppedLines() {
    return droppedLines.get();
  }

  /**
   * Writes the remaining lines, as far as this is possible within a short time.
   *
   * <p>The writer thread may have taken a line from the buffer without having written it yet. If
   * closing didn't wait for the thread, the process would exit before its last lines, those of its
   * stop, are written.
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
    // Wakes the writer if it waits for a line.
    writer.interrupt();
    try {
      writer.join(CLOSE_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean isOfServedRequest(GatewayEvent event) {
    return switch (event) {
      case GatewayEvent.Placed placed ->
          placed.attempt() == 1 && placed.resumes().isEmpty() && !placed.relayed();
      case GatewayEvent.AnswerReceived received ->
          received.attempt() == 1
              && received.skipped() == 0
              && received.match().equals(AnswerMatch.THIS_CALL.name());
      case GatewayEvent.RequestEnded ended ->
          ended.outcome().equals("answered") && ended.attempts() == 1;
      case GatewayEvent.HandedOver handedOver -> true;
      case GatewayEvent.HandoverTaken taken -> true;
      default -> false;
    };
  }

  /**
   * Counts a line of a served request. Returns whether the rate up to which all lines are written
   * is exceeded in the current second.
   */
  private boolean exceedsUnsampledRate(Instant now) {
    long current = now.getEpochSecond();
    if (currentSecond != current) {
      currentSecond = current;
      linesInSecond = 0;
    }
    linesInSecond++;
    return linesInSecond > UNSAMPLED_LINES_PER_SECOND;
  }

  private static boolean isSampledOut(GatewayEvent event) {
    String request =
        switch (event) {
          case GatewayEvent.Placed placed -> placed.request();
          case GatewayEvent.AnswerReceived received -> received.request();
          case GatewayEvent.RequestEnded ended -> ended.request();
          case GatewayEvent.HandedOver handedOver -> handedOver.request();
          case GatewayEvent.HandoverTaken taken -> taken.request();
          default -> "";
        };
    return Math.floorMod(request.hashCode(), SAMPLING_DIVISOR) != 0;
  }

  private void writeAll() {
    try {
      while (!closed) {
        Line line = lines.poll(IDLE_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        if (line != null) {
          write(line);
        }
        long unreported = lines.isEmpty() ? droppedLines.getAndSet(0) : 0;
        if (unreported > 0) {
          write(new Line(clock.instant(), new GatewayEvent.LinesDropped(unreported)));
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
      throw new IllegalStateException("an accessor of an event record could not be called", e);
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
