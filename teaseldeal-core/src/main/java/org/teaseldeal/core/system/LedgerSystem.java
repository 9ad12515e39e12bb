package org.teaseldeal.core.system;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.InstanceDump;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.StreamPartitioning;
import org.teaseldeal.ledger.client.LedgerClient;
import org.teaseldeal.ledger.client.LedgerConfig;
import org.teaseldeal.ledger.client.ReadConfig;
import org.teaseldeal.ledger.client.Ticket;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.ledger.lease.LocalLeases;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;
import org.teaseldeal.wire.gen.peer.StreamPosition;

/**
 * Reads and writes all streams of the ledger, and passes each entry's outcome to the system that
 * submitted it.
 */
final class LedgerSystem {
  private record OutcomeListener(Entry entry, Consumer<Outcome> callback) {}

  private static final class Stream {
    private final StreamId id;
    private final LedgerClient client;
    private final LocalLeases leases = new LocalLeases();
    private final Map<Ticket, OutcomeListener> listeners = new HashMap<>();
    private long lastChargeNumber;

    private Stream(StreamId id, LedgerClient client) {
      this.id = id;
      this.client = client;
    }
  }

  private final Context context;
  private final StreamPartitioning streamPartitioning;
  private final List<Stream> streams = new ArrayList<>();

  LedgerSystem(Context context, SettingsValidator validator) {
    this.context = context;
    this.streamPartitioning = new StreamPartitioning(context.config.streams());
    ReadConfig reads =
        new ReadConfig(
            ReadConfig.DEFAULT.timeout(),
            ReadConfig.DEFAULT.backoff(),
            context.limits().logSilenceTimeout());
    LedgerConfig config = LedgerConfig.DEFAULT.withReads(reads);
    for (int index = 0; index < context.config.streams(); index++) {
      StreamId id = new StreamId(index);
      streams.add(
          new Stream(id, new LedgerClient(context.self(), id, config, validator, context::now)));
    }
    submitToAll(
        new Entry.Join(
            context.config.instance(), context.config.dataCentre(), context.config.peerAddress()));
  }

  private Stream stream(TeamId team) {
    return streams.get(streamPartitioning.of(team).index());
  }

  LedgerState state(TeamId team) {
    return stream(team).client.state();
  }

  LocalLeases leases(ServiceId service) {
    return stream(service.team()).leases;
  }

  boolean reachable(TeamId team) {
    return reachable(stream(team));
  }

  private boolean reachable(Stream stream) {
    return stream.client.logReachable() || (stream.client.caughtUp() && context.justResumed());
  }

  /**
   * Returns whether the stream with the fleet's settings subtree was read recently, and since this
   * process was last suspended.
   *
   * <p>Responses that were queued while the process was suspended look fresh when they are
   * processed, although they are as old as the suspension.
   */
  boolean fleetStreamRecentlyRead() {
    LedgerClient client = streams.getFirst().client;
    return !client.retired()
        && client.caughtUp()
        && client.logReachable()
        && client.lastContact().filter(context::requestedSinceResume).isPresent();
  }

  /**
   * Returns the state of the stream that holds the fleet's settings subtree and the terms for
   * orders.
   */
  LedgerState fleetState() {
    return streams.getFirst().client.state();
  }

  void submitToFleet(Entry entry, Consumer<Outcome> then) {
    submit(streams.getFirst(), entry, true, then);
  }

  /** Returns whether all streams can be reached. */
  boolean allReachable() {
    return streams.stream().allMatch(this::reachable);
  }

  /** Returns whether an incarnation has left the ledger or was retired. */
  boolean hasEnded(TeamId team, IncarnationId incarnation) {
    return stream(team).client.state().ended(incarnation);
  }

  /** Returns the next charge number of this incarnation on the stream of {@code team}. */
  long nextCharge(TeamId team) {
    return ++stream(team).lastChargeNumber;
  }

  void submit(TeamId team, Entry entry) {
    submit(stream(team), entry, false, outcome -> {});
  }

  void submit(TeamId team, Entry entry, Consumer<Outcome> then) {
    submit(stream(team), entry, false, then);
  }

  void submitUrgent(TeamId team, Entry entry, Consumer<Outcome> then) {
    submit(stream(team), entry, true, then);
  }

  void submitToAll(Entry entry) {
    streams.forEach(stream -> submit(stream, entry, true, outcome -> {}));
  }

  private void submit(Stream stream, Entry entry, boolean urgent, Consumer<Outcome> then) {
    if (stream.client.retired()) {
      then.accept(lostOutcome(entry));
      return;
    }
    Ticket ticket = stream.client.submit(entry, urgent);
    stream.listeners.put(ticket, new OutcomeListener(entry, then));
  }

  private static Outcome lostOutcome(Entry entry) {
    return new Outcome.Rejected(entry, "its outcome can no longer be read");
  }

  void onLogEvent(LogEvent event) {
    Stream stream = streams.get(event.stream().index());
    for (EntryOutcome entryOutcome : stream.client.handle(event)) {
      Optional<Ticket> ticket = stream.client.ticket(entryOutcome);
      OutcomeListener listener = ticket.isEmpty() ? null : stream.listeners.remove(ticket.get());
      if (listener != null) {
        listener.callback.accept(entryOutcome.outcome());
      }
    }
    for (Ticket ticket : stream.client.drainLostTickets()) {
      OutcomeListener listener = stream.listeners.remove(ticket);
      if (listener != null) {
        listener.callback.accept(lostOutcome(listener.entry));
      }
    }
  }

  /**
   * Emits the log operations that are due. It runs last in a tick, so that the operations include
   * all entries submitted during the tick.
   */
  void run() {
    long appends = 0;
    long repeats = 0;
    long bytes = 0;
    long appendFailures = 0;
    long readFailures = 0;
    for (Stream stream : streams) {
      for (LogCommand command : stream.client.poll()) {
        context.emit(new InstanceCommand.RunLogCommand(command));
      }
      var counters = stream.client.counters();
      appends += counters.appends();
      repeats += counters.repeats();
      bytes += counters.appendedBytes();
      appendFailures += counters.appendFailures();
      readFailures += counters.readFailures();
    }
    context.counters.set(Counter.APPENDS, appends);
    context.counters.set(Counter.APPEND_REPEATS, repeats);
    context.counters.set(Counter.APPENDED_BYTES, bytes);
    context.counters.set(Counter.APPEND_FAILURES, appendFailures);
    context.counters.set(Counter.READ_FAILURES, readFailures);
  }

  /** Returns whether all streams have been read up to date and this incarnation may still write. */
  boolean ready() {
    return !retired() && streams.stream().allMatch(stream -> stream.client.caughtUp());
  }

  /** Describes what still prevents readiness. */
  String readiness() {
    if (retired()) {
      return "incarnation %s was retired".formatted(context.self());
    }
    for (Stream stream : streams) {
      if (!stream.client.caughtUp()) {
        String reason = stream.client.problem().orElse("it is being read");
        return "stream %s is at %d: %s".formatted(stream.id, stream.client.foldedTo(), reason);
      }
    }
    return "ready";
  }

  /**
   * Returns whether this incarnation was retired on any stream, or another process took its name.
   */
  boolean retired() {
    return streams.stream().anyMatch(stream -> stream.client.retired());
  }

  /** Returns whether no entry waits to be appended or read back. */
  boolean isIdle() {
    return streams.stream().allMatch(stream -> stream.client.idle());
  }

  Optional<FleetSettings> fleetSettings() {
    return streams.getFirst().client.state().fleet();
  }

  Optional<TeamSettings> teamSettings(TeamId team) {
    return state(team).team(team);
  }

  List<TeamSettings> allTeamSettings() {
    List<TeamSettings> teams = new ArrayList<>();
    for (Stream stream : streams) {
      LedgerState state = stream.client.state();
      state.subtrees().stream()
          .map(view -> view.subtree())
          .filter(subtree -> !subtree.isFleet())
          .map(SubtreeId::team)
          .forEach(team -> state.team(team).ifPresent(teams::add));
    }
    return teams;
  }

  /** Returns the highest settings revision in force. */
  long settingsRevision() {
    return streams.stream().mapToLong(s -> s.client.state().settingsRevision()).max().orElse(0);
  }

  /** Returns a number that grows whenever the settings of any subtree change. */
  long settingsChangeCounter() {
    return streams.stream().mapToLong(s -> s.client.state().settingsRevision()).sum();
  }

  List<StreamPosition> positions() {
    return streams.stream()
        .map(stream -> new StreamPosition(stream.id.index(), stream.client.foldedTo()))
        .toList();
  }

  List<InstanceDump.Stream> streams() {
    return streams.stream()
        .map(
            stream ->
                new InstanceDump.Stream(
                    stream.id.index(),
                    stream.client.foldedTo(),
                    stream.client.caughtUp(),
                    stream.client.logReachable()))
        .toList();
  }

  /** Returns the client of a stream, for the bootstrap from a peer's state. */
  LedgerClient client(int stream) {
    return streams.get(stream).client;
  }

  int streamCount() {
    return streams.size();
  }
}
