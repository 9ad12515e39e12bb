package org.teaseldeal.bench.slope;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.BearerToken;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.InstanceConfig;
import org.teaseldeal.core.InstanceCore;
import org.teaseldeal.core.InstanceLimits;
import org.teaseldeal.core.ListedInstance;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.wire.gen.peer.ChargeBackupAck;
import org.teaseldeal.wire.gen.peer.DrawReply;
import org.teaseldeal.wire.gen.peer.Envelope;
import org.teaseldeal.wire.gen.peer.Heartbeat;
import org.teaseldeal.wire.gen.peer.Message;
import org.teaseldeal.wire.gen.peer.StreamPosition;

/**
 * A single instance in virtual time and without a network. It receives the messages that peers,
 * backend servers and the log send to the instance of a router.
 *
 * <p>Messages are serialized and deserialized as on a connection. Sockets, HTTP and JSON are not
 * part of the simulation.
 */
final class SimulatedInstance implements InstantSource {
  static final Duration TICK = Duration.ofMillis(5);
  private static final Duration LIST_INTERVAL = Duration.ofMillis(500);
  private static final Duration LOAD_INTERVAL = Duration.ofMillis(200);
  private static final Duration READ_WAIT = Duration.ofSeconds(1);
  private static final int DATA_CENTRES = 19;
  private static final int LENGTH_PREFIX_BYTES = 4;
  private static final long TOKENS = 1L << 40;
  private static final byte[] BODY = new byte[400];
  private static final byte[] FRAME = new byte[200];

  private final List<LogRecord> log;
  private final List<ListedInstance> peers = new ArrayList<>();
  private final List<ListedServer> servers = new ArrayList<>();
  private final List<byte[]> heartbeats = new ArrayList<>();
  private final Deque<InstanceEvent> inbox = new ArrayDeque<>();
  private final List<AttemptId> attempts = new ArrayList<>();
  private final InstanceCore core;
  private Instant now = Instant.parse("2026-12-02T10:00:00Z");
  private LogCommand.@Nullable Read pendingRead;
  private Instant readUntil = now;
  private long lastCall;
  private long framesPerAttempt;
  private long steps;
  private long peerBytes;
  private long backupBytes;
  private long appends;
  private long appendedBytes;

  /** Creates an instance with {@code peerCount} peers and {@code serverCount} backend servers. */
  SimulatedInstance(int peerCount, int serverCount) {
    log =
        new ArrayList<>(
            new FoldedLog()
                .records(
                    List.of(
                        new Entry.PublishSettings(
                            SubtreeId.FLEET, 0, "operator", SampleEntries.FLEET_TOML),
                        SampleEntries.subtree(42, 0),
                        new Entry.CreateBudget(
                            AccountId.of(EntryKind.TEAM), TOKENS, "operator", "create")),
                    1));
    for (int number = 1; number <= peerCount; number++) {
      peers.add(new ListedInstance(instance(number), address(number), dataCentre(number), false));
      heartbeats.add(heartbeat(number, 1));
    }
    for (int number = 0; number < serverCount; number++) {
      servers.add(
          new ListedServer(
              new BackendServerId("engine-%04d.0123456789ab".formatted(number)),
              "language",
              "10.1.%d.%d:8000".formatted(number / 250, number % 250),
              dataCentre(number),
              false));
    }
    core =
        new InstanceCore(
            new InstanceConfig(
                instance(0),
                incarnation(0),
                dataCentre(0),
                address(0),
                1,
                InstanceLimits.standard()),
            this,
            new SplittableRandom(7));
  }

  @Override
  public Instant instant() {
    return now;
  }

  boolean ready() {
    return core.ready();
  }

  long peerBytes() {
    return peerBytes;
  }

  /** Returns the part of {@link #peerBytes()} that carries charge backups. */
  long backupBytes() {
    return backupBytes;
  }

  long appends() {
    return appends;
  }

  long appendedBytes() {
    return appendedBytes;
  }

  /** Returns the number of attempts that are in flight at backend servers. */
  int openStreams() {
    return attempts.size();
  }

  /** Advances the virtual time by {@code duration}, in steps of one tick. */
  void run(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      step();
    }
  }

  /** Runs ticks of the instance without advancing the time. */
  void tick(int count) {
    for (int i = 0; i < count; i++) {
      core.tick();
      core.drainCommands();
    }
  }

  /** Sends a request for a streamed answer. */
  void sendCall() {
    inbox.add(
        new InstanceEvent.CallerRequest(
            new CallId(++lastCall),
            Optional.of(new BearerToken("example-brokers")),
            "appraisal",
            Optional.empty(),
            Optional.empty(),
            new Payload.ModelCall(BODY, BODY.length, OptionalLong.empty(), true)));
  }

  /** Delivers the next frame to each open stream. */
  void sendFrames() {
    for (AttemptId attempt : attempts) {
      inbox.add(new InstanceEvent.FrameReceived(attempt, framesPerAttempt, FRAME));
    }
    framesPerAttempt++;
  }

  /** Ends each open stream. */
  void finishStreams() {
    for (AttemptId attempt : attempts) {
      inbox.add(new InstanceEvent.StreamFinished(attempt, framesPerAttempt, new Usage(133, 200)));
    }
    attempts.clear();
    framesPerAttempt = 0;
  }

  void step() {
    now = now.plus(TICK);
    steps++;
    receiveMessages();
    while (!inbox.isEmpty()) {
      core.handle(inbox.remove());
    }
    core.tick();
    core.drainCommands().forEach(this::execute);
  }

  private void receiveMessages() {
    if (isDue(LIST_INTERVAL)) {
      inbox.add(new InstanceEvent.PlatformListRead(peers, servers));
      for (byte[] heartbeat : heartbeats) {
        Envelope envelope = read(heartbeat);
        inbox.add(
            new InstanceEvent.PeerMessageReceived(
                new IncarnationId(envelope.getSender()), envelope.getMessage()));
      }
    }
    if (isDue(LOAD_INTERVAL)) {
      servers.forEach(
          server ->
              inbox.add(
                  new InstanceEvent.LoadReported(server.id(), 0, 0, 0, Duration.ofMillis(100))));
    }
    answerRead();
  }

  private boolean isDue(Duration interval) {
    return (steps - 1) % (interval.toMillis() / TICK.toMillis()) == 0;
  }

  private void answerRead() {
    LogCommand.Read read = pendingRead;
    if (read == null || (read.fromOffset() >= log.size() && now.isBefore(readUntil))) {
      return;
    }
    pendingRead = null;
    int from = (int) Math.min(read.fromOffset(), log.size());
    List<LogRecord> records = log.subList(from, log.size());
    inbox.add(
        new InstanceEvent.LogResponseReceived(
            new LogEvent.RecordsRead(StreamId.FLEET, read.fromOffset(), records, 0, log.size())));
  }

  private void execute(InstanceCommand command) {
    switch (command) {
      case InstanceCommand.StartAttempt start -> attempts.add(start.attempt());
      case InstanceCommand.RunLogCommand at -> executeAtLog(at.command());
      case InstanceCommand.SendPeerMessage send -> send(send);
      case InstanceCommand.RefuseCall refuse ->
          throw new IllegalStateException("the instance refused a call: " + refuse.problem());
      case InstanceCommand.AbortStream broken ->
          throw new IllegalStateException("the instance broke off a stream: " + broken.problem());
      default -> {
        // The remaining commands are answers to callers, which this simulation does not use.
      }
    }
  }

  private void executeAtLog(LogCommand command) {
    switch (command) {
      case LogCommand.Append append -> {
        appends++;
        appendedBytes += append.payload().length;
        log.add(new LogRecord(log.size(), now, append.payload()));
        inbox.add(
            new InstanceEvent.LogResponseReceived(
                new LogEvent.AppendAcknowledged(StreamId.FLEET, append.token(), log.size() - 1L)));
      }
      case LogCommand.Read read -> {
        pendingRead = read;
        readUntil = now.plus(READ_WAIT);
      }
    }
  }

  private void send(InstanceCommand.SendPeerMessage command) {
    Message message = command.message();
    int bytes = write(incarnation(0), message).length + LENGTH_PREFIX_BYTES;
    peerBytes += bytes;
    if (message.isSetChargeBackup()) {
      backupBytes += bytes;
      long number = message.getChargeBackup().getNumber();
      answer(command.address(), Message.chargeBackupAck(new ChargeBackupAck(number)));
    }
    if (message.isSetDrawRequest()) {
      var request = message.getDrawRequest();
      answer(
          command.address(),
          Message.drawReply(
              new DrawReply(request.getTransfer(), request.getServiceId(), List.of())));
    }
  }

  private void answer(String address, Message message) {
    for (int number = 1; number <= peers.size(); number++) {
      if (address(number).equals(address)) {
        inbox.add(new InstanceEvent.PeerMessageReceived(incarnation(number), message));
      }
    }
  }

  /**
   * Returns a serialized heartbeat that contains the positions of {@code streams} ledger streams.
   */
  static byte[] heartbeat(int number, int streams) {
    List<StreamPosition> positions =
        IntStream.range(0, streams).mapToObj(i -> new StreamPosition(i, 1_000_000)).toList();
    return write(
        incarnation(number),
        Message.heartbeat(
            new Heartbeat(
                instance(number).name(),
                dataCentre(number).name(),
                address(number),
                false,
                true,
                positions,
                List.of(),
                List.of(),
                1_000_000)));
  }

  private static byte[] write(IncarnationId sender, Message message) {
    try {
      return new TSerializer(new TCompactProtocol.Factory())
          .serialize(new Envelope(1, sender.value(), message));
    } catch (TException e) {
      throw new IllegalStateException("could not serialize the message", e);
    }
  }

  private static Envelope read(byte[] bytes) {
    try {
      Envelope envelope = new Envelope();
      new TDeserializer(new TCompactProtocol.Factory()).deserialize(envelope, bytes);
      return envelope;
    } catch (TException e) {
      throw new IllegalStateException("could not deserialize the message", e);
    }
  }

  private static InstanceId instance(int number) {
    return new InstanceId(String.format(Locale.ROOT, "router-%03d", number));
  }

  private static IncarnationId incarnation(int number) {
    return new IncarnationId(instance(number).name() + ".0123456789ab");
  }

  private static DataCentre dataCentre(int number) {
    return new DataCentre(String.format(Locale.ROOT, "centre-%02d", number % DATA_CENTRES));
  }

  private static String address(int number) {
    return "10.0.%d.%d:7100".formatted(number / 250, number % 250);
  }
}
