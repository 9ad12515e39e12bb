package org.teaseldeal.core.fake;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.EngineOrder;
import org.teaseldeal.api.EngineState;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.AttemptFailure;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand.SendOrder;
import org.teaseldeal.core.command.InstanceCommand.StartAttempt;
import org.teaseldeal.core.event.InstanceEvent;

/**
 * A backend server: an engine if it receives model calls, a plain service otherwise.
 *
 * <p>An engine always answers a request with the same frames, so that a test can tell a complete
 * answer from a mixed one. Faults are fields that may be set at any time.
 */
public final class FakeServer {
  /** An order that this server received. */
  public record ReceivedOrder(
      Instant at, IncarnationId sender, long fencing, EngineOrder order, boolean accepted) {}

  /** A start of a request on this server. */
  public record RunStart(Instant at, RequestId request) {}

  private static final class Run {
    private final long frames;
    private final Usage usage;
    private long generatedFrames;
    private boolean cancelled;

    private Run(long frames, Usage usage) {
      this.frames = frames;
      this.usage = usage;
    }
  }

  private static final class Connection {
    private final Run run;
    private final Consumer<InstanceEvent> events;
    private long position;

    private Connection(Run run, long position, Consumer<InstanceEvent> events) {
      this.run = run;
      this.position = position;
      this.events = events;
    }
  }

  private final Simulation simulation;
  private final BackendServerId id;
  private final String pool;
  private final Map<RequestId, Run> runs = new HashMap<>();
  private final Map<AttemptId, Connection> connections = new HashMap<>();
  private final TreeMap<String, Integer> starts = new TreeMap<>();
  private final List<Run> allRuns = new ArrayList<>();
  private final List<RunStart> runStarts = new ArrayList<>();

  /** Number of frames of each answer, or fewer if the output cap is lower. */
  public long frames = 5;

  public Duration frameInterval = Duration.ofMillis(20);
  public Duration oneWayDelay = Duration.ofMillis(1);

  /** Whether the process is gone, so that connections are refused. */
  public boolean down;

  /** Whether current and future connections stay silent. */
  public boolean silent;

  /** Whether requests are refused before they run. */
  public boolean refusesRequests;

  /** The prompt that crashes the process when it runs; empty for none. */
  public String crashPrompt = "";

  /** Whether an order with a fencing token below the highest one seen is refused. */
  public boolean checksFencing = true;

  /** Whether orders are accepted but their answers are lost. */
  public boolean losesOrderResponses;

  private final TreeMap<String, String> models = new TreeMap<>();
  private final TreeMap<String, String> adapters = new TreeMap<>();
  private String role = "mixed";
  private long highestFencing;
  private final List<ReceivedOrder> orders = new ArrayList<>();

  /** Whether the platform lists this server as leaving. */
  public boolean leaving;

  public FakeServer(Simulation simulation, String id, String pool) {
    this.simulation = simulation;
    this.id = new BackendServerId(id);
    this.pool = pool;
  }

  public BackendServerId id() {
    return id;
  }

  public String address() {
    return id.name() + ":1";
  }

  ListedServer listed() {
    return new ListedServer(id, pool, address(), new DataCentre("hal-nord"), leaving);
  }

  /**
   * Returns how often each request was started, by request id. Attaching to an existing run doesn't
   * count as a start.
   */
  public Map<String, Integer> starts() {
    return starts;
  }

  private void recordStart(RequestId request) {
    starts.merge(request.value(), 1, Integer::sum);
    runStarts.add(new RunStart(simulation.instant(), request));
  }

  /** Returns all starts in order. */
  public List<RunStart> runStarts() {
    return List.copyOf(runStarts);
  }

  /** Returns the number of starts of all requests. */
  public int runCount() {
    return starts.values().stream().mapToInt(n -> n).sum();
  }

  /** Returns the tokens used by the model runs on this server, including lost ones. */
  public long tokensSpent() {
    return allRuns.stream().mapToLong(run -> run.usage.inputTokens() + run.generatedFrames).sum();
  }

  /** Returns whether the run of {@code request} was cancelled. */
  public boolean cancelled(RequestId request) {
    Run run = runs.get(request);
    return run != null && run.cancelled;
  }

  /** Leaves all connections open at both ends but delivers nothing on them any more. */
  public void forgetConnections() {
    connections.clear();
  }

  /** Crashes the process. All callers of this server lose their connections. */
  public void crash() {
    down = true;
    for (Map.Entry<AttemptId, Connection> open : new TreeMap<>(byNumber()).values()) {
      AttemptFailure failure =
          open.getValue().position == 0
              ? AttemptFailure.LOST_BEFORE_ANSWER
              : AttemptFailure.LOST_MID_ANSWER;
      open.getValue()
          .events
          .accept(new InstanceEvent.AttemptFailed(open.getKey(), failure, "reset"));
    }
    connections.clear();
    runs.values().forEach(run -> run.cancelled = true);
    runs.clear();
  }

  private Map<String, Map.Entry<AttemptId, Connection>> byNumber() {
    Map<String, Map.Entry<AttemptId, Connection>> sorted = new TreeMap<>();
    connections.entrySet().forEach(entry -> sorted.put(entry.getKey().toString(), entry));
    return sorted;
  }

  void start(StartAttempt command, Consumer<InstanceEvent> events) {
    simulation.after(oneWayDelay, () -> onStart(command, events));
  }

  private void onStart(StartAttempt command, Consumer<InstanceEvent> events) {
    AttemptId attempt = command.attempt();
    if (down) {
      fail(events, attempt, AttemptFailure.NOT_SENT, "connection refused");
    } else if (refusesRequests) {
      fail(events, attempt, AttemptFailure.REFUSED_BY_SERVER, "429");
    } else if (command.payload() instanceof Payload.PlainCall call) {
      answerPlain(command, call, events);
    } else {
      attachToRun(command, events);
    }
  }

  private static void fail(
      Consumer<InstanceEvent> events, AttemptId attempt, AttemptFailure failure, String detail) {
    events.accept(new InstanceEvent.AttemptFailed(attempt, failure, detail));
  }

  private void answerPlain(
      StartAttempt command, Payload.PlainCall call, Consumer<InstanceEvent> events) {
    recordStart(command.request());
    Connection connection = new Connection(new Run(1, Usage.NONE), 0, events);
    connections.put(command.attempt(), connection);
    byte[] body = ("done " + new String(call.body(), UTF_8)).getBytes(UTF_8);
    simulation.after(
        frameInterval,
        () -> {
          if (!silent && connections.remove(command.attempt()) != null) {
            events.accept(
                new InstanceEvent.PlainAnswerReceived(command.attempt(), 200, "text/plain", body));
          }
        });
  }

  private void attachToRun(StartAttempt command, Consumer<InstanceEvent> events) {
    Run existing = runs.get(command.request());
    if (existing == null && command.resumeFrom().isPresent()) {
      fail(events, command.attempt(), AttemptFailure.RESUME_UNKNOWN, "404");
      return;
    }
    Run run = existing == null ? startRun(command) : existing;
    Connection connection = new Connection(run, command.resumeFrom().orElse(0), events);
    connections.put(command.attempt(), connection);
    if (crashPrompt.equals(new String(command.payload().body(), UTF_8))) {
      crash();
      return;
    }
    deliverFrames(command.request(), command.attempt());
  }

  private Run startRun(StartAttempt command) {
    recordStart(command.request());
    long output = Math.min(frames, command.maxOutputTokens());
    Payload.ModelCall call = (Payload.ModelCall) command.payload();
    Run run = new Run(output, new Usage(call.inputTokenBound() / 2, output));
    runs.put(command.request(), run);
    allRuns.add(run);
    generate(run);
    return run;
  }

  private void generate(Run run) {
    simulation.after(
        frameInterval,
        () -> {
          if (run.generatedFrames < run.frames && !run.cancelled) {
            run.generatedFrames++;
            generate(run);
          }
        });
  }

  private void deliverFrames(RequestId request, AttemptId attempt) {
    Connection connection = connections.get(attempt);
    if (connection == null) {
      return;
    }
    if (!silent) {
      while (connection.position < connection.run.generatedFrames) {
        connection.events.accept(
            new InstanceEvent.FrameReceived(
                attempt, connection.position, frame(request, connection.position)));
        connection.position++;
      }
      if (connection.position == connection.run.frames) {
        connections.remove(attempt);
        connection.events.accept(
            new InstanceEvent.StreamFinished(attempt, connection.run.frames, connection.run.usage));
        return;
      }
    }
    simulation.after(frameInterval, () -> deliverFrames(request, attempt));
  }

  /** Returns frame {@code position} of the answer to {@code request}. */
  public static byte[] frame(RequestId request, long position) {
    return "{\"frame\":%d,\"of\":\"%s\"}".formatted(position, request).getBytes(UTF_8);
  }

  /** Returns the models, adapters and role that the accepted orders have produced. */
  public EngineState orderState() {
    return new EngineState(models, adapters, role);
  }

  /** Returns all received orders in order. */
  public List<ReceivedOrder> orders() {
    return List.copyOf(orders);
  }

  void queryOrderState(Consumer<InstanceEvent> events) {
    simulation.after(
        oneWayDelay,
        () -> {
          InstanceEvent answer =
              down
                  ? new InstanceEvent.OrderStateQueryFailed(id, "connection refused")
                  : new InstanceEvent.OrderStateReported(id, orderState());
          simulation.after(oneWayDelay, () -> events.accept(answer));
        });
  }

  void order(IncarnationId sender, SendOrder command, Consumer<InstanceEvent> events) {
    simulation.after(
        oneWayDelay,
        () -> {
          if (down) {
            events.accept(new InstanceEvent.OrderFailed(id, command.number(), "refused"));
            return;
          }
          boolean accepted = !checksFencing || command.fencing() >= highestFencing;
          orders.add(
              new ReceivedOrder(
                  simulation.instant(), sender, command.fencing(), command.order(), accepted));
          InstanceEvent answer =
              accepted
                  ? new InstanceEvent.OrderAccepted(id, command.number())
                  : new InstanceEvent.OrderRefused(id, command.number(), highestFencing);
          if (accepted) {
            highestFencing = Math.max(highestFencing, command.fencing());
            carryOut(command.order());
          }
          if (!losesOrderResponses) {
            simulation.after(oneWayDelay, () -> events.accept(answer));
          }
        });
  }

  private void carryOut(EngineOrder order) {
    switch (order.kind()) {
      case LOAD_MODEL -> models.put(order.target(), order.version());
      case UNLOAD_MODEL -> models.remove(order.target());
      case LOAD_ADAPTER -> adapters.put(order.target(), order.version());
      case SET_ROLE -> role = order.target();
    }
  }

  void cancel(AttemptId attempt, RequestId request) {
    simulation.after(
        oneWayDelay,
        () -> {
          connections.remove(attempt);
          Run run = runs.get(request);
          if (run != null) {
            run.cancelled = true;
          }
        });
  }

  void drop(AttemptId attempt) {
    connections.remove(attempt);
  }

  void queryUsage(AttemptId attempt, RequestId request, Consumer<InstanceEvent> events) {
    simulation.after(
        oneWayDelay.multipliedBy(2),
        () -> {
          if (down) {
            events.accept(new InstanceEvent.UsageQueryFailed(attempt, "connection refused"));
            return;
          }
          Run run = runs.get(request);
          if (run == null) {
            events.accept(new InstanceEvent.UsageReported(attempt, Optional.empty()));
          } else if (run.cancelled || run.generatedFrames == run.frames) {
            Usage usage = new Usage(run.usage.inputTokens(), run.generatedFrames);
            events.accept(new InstanceEvent.UsageReported(attempt, Optional.of(usage)));
          } else {
            events.accept(new InstanceEvent.UsageQueryFailed(attempt, "still running"));
          }
        });
  }
}
