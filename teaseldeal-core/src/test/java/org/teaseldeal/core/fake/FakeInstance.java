package org.teaseldeal.core.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.core.BearerToken;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.InstanceConfig;
import org.teaseldeal.core.InstanceCore;
import org.teaseldeal.core.InstanceLimits;
import org.teaseldeal.core.ListedInstance;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;

/**
 * An instance in a fake fleet: its core, and the code that carries out the core's commands.
 *
 * <p>A suspended instance processes nothing until it resumes, and then receives everything that
 * arrived in the meantime at once. A killed instance loses all its state.
 */
public final class FakeInstance {
  private enum State {
    RUNNING,
    SUSPENDED,
    ENDED
  }

  private final FakeFleet fleet;
  private final InstanceConfig config;
  private final InstanceCore core;
  private final Deque<InstanceEvent> inbox = new ArrayDeque<>();
  private final Map<Long, FakeCall> calls = new TreeMap<>();
  private final List<String> transcript = new ArrayList<>();
  private final Deque<InstanceCommand.SendOrder> unsentOrders = new ArrayDeque<>();

  /**
   * Whether the instance is suspended between its next decision to send an order and the sending.
   */
  public boolean suspendsBeforeOrder;

  /** Whether the instance's calls of the log fail. */
  public boolean cutOffFromLog;

  private State state = State.RUNNING;
  private boolean stopped;
  private long lastCall;

  FakeInstance(FakeFleet fleet, String name, String dataCentre, int run, int streams) {
    this.fleet = fleet;
    this.config =
        new InstanceConfig(
            new InstanceId(name),
            new IncarnationId(name + "-run" + run),
            new DataCentre(dataCentre),
            name + ":7",
            streams,
            InstanceLimits.standard());
    this.core =
        new InstanceCore(config, fleet.policies(), fleet.simulation(), fleet.simulation().random());
  }

  public InstanceCore core() {
    return core;
  }

  public IncarnationId incarnation() {
    return config.incarnation();
  }

  public String address() {
    return config.peerAddress();
  }

  /** Returns all commands of the core as text, for comparing two runs with the same seed. */
  public List<String> transcript() {
    return transcript;
  }

  ListedInstance listed() {
    return new ListedInstance(config.instance(), address(), config.dataCentre(), false);
  }

  /** Returns whether the process exists, suspended or not. */
  public boolean alive() {
    return state != State.ENDED;
  }

  /** Returns whether the core has allowed the process to exit. */
  public boolean stopped() {
    return stopped;
  }

  public void suspend() {
    state = state == State.RUNNING ? State.SUSPENDED : state;
  }

  public void resume() {
    state = state == State.SUSPENDED ? State.RUNNING : state;
    while (state == State.RUNNING && !unsentOrders.isEmpty()) {
      InstanceCommand.SendOrder order = unsentOrders.remove();
      fleet.server(order.address()).order(incarnation(), order, this::deliver);
    }
  }

  /** Kills the process at once. Its callers lose their connections. */
  public void kill() {
    state = State.ENDED;
    inbox.clear();
    calls.values().forEach(FakeCall::onConnectionLost);
  }

  public void deliver(InstanceEvent event) {
    if (state != State.ENDED) {
      inbox.add(event);
    }
  }

  /** Sends a model call with at most 40 input tokens. */
  public FakeCall callModel(String token, String service, Optional<String> key, Duration timeout) {
    byte[] body =
        ("prompt of " + key.orElse("-")).getBytes(java.nio.charset.StandardCharsets.UTF_8);
    Payload payload = new Payload.ModelCall(body, 40, java.util.OptionalLong.empty(), true);
    return call(token, service, key, timeout, payload);
  }

  /** Sends a call of a plain service with {@code text} as the body. */
  public FakeCall callPlain(
      String token, String service, Optional<String> key, Duration timeout, String text) {
    byte[] body = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    Payload payload = new Payload.PlainCall("POST", "/", "text/plain", body);
    return call(token, service, key, timeout, payload);
  }

  public FakeCall call(
      String token, String service, Optional<String> key, Duration timeout, Payload payload) {
    FakeCall call = new FakeCall(new CallId(++lastCall));
    calls.put(lastCall, call);
    if (state == State.ENDED) {
      call.onConnectionLost();
      return call;
    }
    Optional<BearerToken> bearer =
        token.isEmpty() ? Optional.empty() : Optional.of(new BearerToken(token));
    deliver(
        new InstanceEvent.CallerRequest(
            call.id(), bearer, service, key, Optional.of(timeout), payload));
    return call;
  }

  /** Closes the caller's connection. */
  public void disconnect(FakeCall call) {
    deliver(new InstanceEvent.CallerDisconnected(call.id()));
  }

  void step() {
    if (state != State.RUNNING) {
      return;
    }
    while (!inbox.isEmpty()) {
      core.handle(inbox.remove());
    }
    core.tick();
    for (InstanceCommand command : core.drainCommands()) {
      transcript.add(describe(command));
      carryOut(command);
    }
  }

  private String describe(InstanceCommand command) {
    return fleet.simulation().instant() + " " + FakeFleet.describe(command);
  }

  private void carryOut(InstanceCommand command) {
    switch (command) {
      case InstanceCommand.RefuseCall c ->
          call(c.call()).onProblem(c.request(), c.problem(), false);
      case InstanceCommand.SendFrame c -> call(c.call()).onFrame(c.request(), c.data());
      case InstanceCommand.FinishStream c -> call(c.call()).onFinish(c.request(), c.usage());
      case InstanceCommand.AbortStream c ->
          call(c.call()).onProblem(c.request(), c.problem(), true);
      case InstanceCommand.AnswerPlain c -> call(c.call()).onPlain(c.request(), c.body());
      case InstanceCommand.StartAttempt c -> fleet.server(c.address()).start(c, this::deliver);
      case InstanceCommand.CancelAttempt c ->
          fleet.server(c.address()).cancel(c.attempt(), c.request());
      case InstanceCommand.DropAttempt c -> fleet.dropAttempt(c.attempt());
      case InstanceCommand.QueryUsage c ->
          fleet.server(c.address()).queryUsage(c.attempt(), c.request(), this::deliver);
      case InstanceCommand.QueryOrderState c ->
          fleet.server(c.address()).queryOrderState(this::deliver);
      case InstanceCommand.SendOrder c -> sendOrder(c);
      case InstanceCommand.RunLogCommand c ->
          fleet
              .log()
              .carryOut(
                  c.command(),
                  cutOffFromLog,
                  e -> deliver(new InstanceEvent.LogResponseReceived(e)));
      case InstanceCommand.SendPeerMessage c -> fleet.send(this, c.address(), c.message());
      case InstanceCommand.RequestEnded c -> {}
      case InstanceCommand.Stop c -> {
        stopped = true;
        state = State.ENDED;
      }
    }
  }

  private void sendOrder(InstanceCommand.SendOrder order) {
    if (suspendsBeforeOrder) {
      suspendsBeforeOrder = false;
      suspend();
    }
    if (state == State.SUSPENDED) {
      unsentOrders.add(order);
    } else {
      fleet.server(order.address()).order(incarnation(), order, this::deliver);
    }
  }

  private FakeCall call(CallId id) {
    FakeCall call = calls.get(id.number());
    if (call == null) {
      throw new IllegalStateException("received an answer for unknown call %s".formatted(id));
    }
    return call;
  }
}
