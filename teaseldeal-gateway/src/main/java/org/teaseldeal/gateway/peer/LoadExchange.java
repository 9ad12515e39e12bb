package org.teaseldeal.gateway.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Durations;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Sends the load that this instance has outstanding at each backend server to the other instances,
 * and sums up the loads that they send.
 *
 * <p>Each instance causes only a small part of a server's load. Without the loads of the others, a
 * server that reads a long prompt for another instance would look idle, and callers whose prompts
 * were sent there would wait behind that prompt. A message that is lost only leads to a worse
 * choice of a server for a moment, so the messages are sent as datagrams.
 *
 * <p>An instance reports to one collector. A collector sends the sum of its group's loads to the
 * other collectors, and to each instance of its group the sum of all other instances' loads ({@link
 * LoadCollectors}). In a small fleet every instance is a collector, and each group consists of its
 * collector only.
 */
public final class LoadExchange {
  private static final Logger LOG = LoggerFactory.getLogger(LoadExchange.class);

  /**
   * Each message repeats the changes of this many intervals, so that a change still arrives if one
   * of two messages is lost.
   */
  private static final int REPEATED_INTERVALS = 2;

  /**
   * The interval of a collector's messages to its group, which contain the loads of most servers.
   */
  private static final Duration GROUP_INTERVAL = Duration.ofMillis(80);

  /** The interval of messages that contain all servers, which make up for lost messages. */
  private static final Duration COMPLETE_PERIOD = Duration.ofMillis(500);

  /** The age from which loads are ignored, as most of the prompts were read since. */
  private static final Duration MAX_AGE = Duration.ofSeconds(1);

  /** How long a collector sends messages to an instance after the instance's last report. */
  private static final Duration MEMBER_RETENTION = Duration.ofSeconds(2);

  /** The longest time after which the sums are computed again, without loads that became stale. */
  private static final Duration SUMS_MAX_AGE = Duration.ofMillis(100);

  /** How long reports are sent after a change; each change is repeated in several reports. */
  private static final Duration REPORTING_TIME = Duration.ofMillis(100);

  /** The interval of checks whether the collector has become silent. */
  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(100);

  /** Limits the cache contents sent to a starting instance to some tens of kilobytes. */
  private static final int MAX_CACHED_PARTS = 4_096;

  private final String instance;
  private final ServerDirectory servers;
  private final CachedPrompts cachedPrompts;
  private final LoadCollectors collectors;
  private final Function<String, Optional<String>> addresses;
  private final PeerTransport transport;
  private final InstantSource clock;

  private final ReceivedLoads memberLoads = new ReceivedLoads(MAX_AGE);
  private final ReceivedLoads groupLoads = new ReceivedLoads(MAX_AGE);
  private final ReceivedLoads peerLoads = new ReceivedLoads(MAX_AGE);
  private final RecentSentParts groupParts = new RecentSentParts();
  private final RecentSentParts otherGroupsParts = new RecentSentParts();
  private final LoadChanges ownChanges = new LoadChanges();
  private final LoadChanges groupChanges = new LoadChanges();
  private final LoadChanges allChanges = new LoadChanges();
  private final Map<Integer, BackendServer> serversByHash = new HashMap<>();
  private long hashedChanges = -1;
  private Map<BackendServerId, PeerLoad> sumsByServer = Map.of();
  private Instant sumsValidUntil = Instant.MIN;
  private @Nullable Instant lastReceivedAt;
  private Instant nextMessageAt = Instant.MIN;
  private Instant nextToGroupAt = Instant.MIN;
  private Instant lastToGroupAt = Instant.MIN;
  private Instant nextCompleteAt = Instant.MIN;
  private long sequence;
  private long lastLoadChanges = -1;
  private long lastServerChanges = -1;
  private Instant reportUntil = Instant.MIN;
  private long droppedMessages;

  /**
   * Creates the load exchange of {@code instance}.
   *
   * @param fleet the names of all instances; an unmodifiable set, which is replaced by another one
   *     at each change
   * @param addresses maps an instance's name to its address, if that is known
   */
  public LoadExchange(
      String instance,
      ServerDirectory servers,
      CachedPrompts cachedPrompts,
      Supplier<Set<String>> fleet,
      Function<String, Optional<String>> addresses,
      PeerTransport transport,
      InstantSource clock) {
    this.instance = instance;
    this.servers = servers;
    this.cachedPrompts = cachedPrompts;
    this.collectors = new LoadCollectors(instance, fleet);
    this.addresses = addresses;
    this.transport = transport;
    this.clock = clock;
    // The time of day in the upper bits makes a restarted process continue above its predecessor.
    this.sequence = clock.instant().toEpochMilli() << 16;
  }

  /**
   * Whether a load message was received recently, or there is no other instance to receive one
   * from. A collector receives messages from the other collectors, any other instance from its
   * collector, both at least every half second.
   */
  public boolean hasRecentPeerMessages() {
    Instant last = lastReceivedAt;
    return collectors.otherCollectors().isEmpty()
        || last == null
        || !last.isBefore(clock.instant().minus(MAX_AGE));
  }

  /** The number of messages since the start that could not be decoded. */
  public long droppedMessages() {
    return droppedMessages;
  }

  /**
   * Returns when {@link #tick} is due again, unless the load changes before: an instance that
   * reports to a collector sends nothing between two complete reports while nothing changes.
   */
  public Instant dueAt() {
    if (collectors.isCollector() || lastLoadChanges != servers.loadChanges()) {
      return nextMessageAt;
    }
    Instant now = clock.instant();
    if (!now.isAfter(reportUntil)) {
      return nextMessageAt;
    }
    Instant silenceCheck = now.plus(SILENCE_CHECK_INTERVAL);
    return silenceCheck.isBefore(nextCompleteAt) ? silenceCheck : nextCompleteAt;
  }

  /** Sends the messages that are due. */
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(nextMessageAt)) {
      return;
    }
    collectors.update(now);
    nextMessageAt = now.plus(collectors.interval());
    refreshServerHashes();
    boolean complete = !now.isBefore(nextCompleteAt);
    if (complete) {
      nextCompleteAt = now.plus(COMPLETE_PERIOD);
    }
    if (!collectors.isCollector()) {
      reportToCollector(complete, now);
      return;
    }
    sendToCollectors(complete, now);
    if (complete || !now.isBefore(nextToGroupAt)) {
      nextToGroupAt = now.plus(GROUP_INTERVAL);
      sendToGroup(complete, now);
    }
  }

  /** The time since which changes are included in a message that is sent every {@code interval}. */
  private static Instant repeatedSince(Instant now, Duration interval) {
    return now.minus(Durations.times(interval, REPEATED_INTERVALS));
  }

  private List<LoadMessage.SentPart> ownParts(Instant since) {
    return sentParts(cachedPrompts.sentSince(since));
  }

  /**
   * Sends this instance's changed loads to its collector. A complete report is sent even if nothing
   * has changed, to show that the instance is present.
   *
   * <p>The servers are examined only for a while after a change. Most of the time nothing changes,
   * and examining all servers would be most of the work of an idle instance.
   */
  private void reportToCollector(boolean complete, Instant now) {
    if (lastLoadChanges != servers.loadChanges() || hashedChanges != lastServerChanges) {
      lastLoadChanges = servers.loadChanges();
      lastServerChanges = hashedChanges;
      reportUntil = now.plus(REPORTING_TIME);
    }
    if (!complete && now.isAfter(reportUntil)) {
      return;
    }
    LoadSums own = ownLoads();
    ownChanges.update(own.asMap(), now);
    Instant since = repeatedSince(now, collectors.interval());
    Set<Integer> changed = ownChanges.changedSince(since);
    List<LoadMessage.SentPart> parts = ownParts(since);
    if (complete || !changed.isEmpty() || !parts.isEmpty()) {
      List<LoadMessage.ServerLoad> loads = complete ? own.toList() : ownChanges.loadsOf(changed);
      send(
          collectors.collector(),
          encodeMessage(LoadMessage.Scope.INSTANCE, complete, loads, parts));
    }
  }

  /** Sends the changed loads of this collector's group to the other collectors. */
  private void sendToCollectors(boolean complete, Instant now) {
    LoadSums group = ownLoads();
    memberLoads.addTo(group, now);
    groupChanges.update(group.asMap(), now);
    Instant since = repeatedSince(now, collectors.interval());
    Set<Integer> changed = groupChanges.changedSince(since);
    List<LoadMessage.SentPart> parts = new ArrayList<>(ownParts(since));
    parts.addAll(groupParts.addedSince(since));
    if (!complete && changed.isEmpty() && parts.isEmpty()) {
      return;
    }
    List<LoadMessage.ServerLoad> loads = complete ? group.toList() : groupChanges.loadsOf(changed);
    byte[] message = encodeMessage(LoadMessage.Scope.GROUP, complete, loads, parts);
    collectors.otherCollectors().forEach(name -> send(name, message));
  }

  /** Sends to each instance of this collector's group the loads of all instances but that one. */
  private void sendToGroup(boolean complete, Instant now) {
    List<String> members = memberLoads.sendersSince(now.minus(MEMBER_RETENTION));
    if (members.isEmpty()) {
      return;
    }
    LoadSums all = ownLoads();
    memberLoads.addTo(all, now);
    groupLoads.addTo(all, now);
    allChanges.update(all.asMap(), now);
    Set<Integer> changed = allChanges.changedSince(repeatedSince(now, GROUP_INTERVAL));
    List<LoadMessage.SentPart> parts = new ArrayList<>(ownParts(lastToGroupAt));
    parts.addAll(groupParts.addedSince(lastToGroupAt));
    parts.addAll(otherGroupsParts.addedSince(lastToGroupAt));
    lastToGroupAt = now;
    Set<Integer> included = complete ? all.asMap().keySet() : changed;
    for (String member : members) {
      Map<Integer, LoadMessage.ServerLoad> reported = memberLoads.loadsOf(member, now);
      List<LoadMessage.ServerLoad> loads =
          included.stream()
              .map(server -> subtractReported(reported.get(server), server, all))
              .toList();
      send(member, encodeMessage(LoadMessage.Scope.OTHERS, complete, loads, parts));
    }
  }

  /** The sum of all instances' loads at a server, without the load that one instance reported. */
  private static LoadMessage.ServerLoad subtractReported(
      LoadMessage.@Nullable ServerLoad reported, int server, LoadSums all) {
    PeerLoad sum = all.of(server);
    if (reported == null) {
      return new LoadMessage.ServerLoad(server, sum.running(), sum.promptTokensAhead());
    }
    return new LoadMessage.ServerLoad(
        server,
        Math.max(0, sum.running() - reported.running()),
        Math.max(0, sum.promptTokensAhead() - reported.promptTokensAhead()));
  }

  private byte[] encodeMessage(
      LoadMessage.Scope scope,
      boolean complete,
      List<LoadMessage.ServerLoad> loads,
      List<LoadMessage.SentPart> parts) {
    return new LoadMessage(scope, instance, ++sequence, complete, loads, parts).encode();
  }

  private void send(String name, byte[] message) {
    addresses.apply(name).ifPresent(address -> transport.send(address, message));
  }

  /**
   * Encodes what is known of the servers' cache contents, for an instance that has just started.
   */
  byte[] cachedPrompts() {
    return new LoadMessage(
            LoadMessage.Scope.INSTANCE,
            instance,
            sequence,
            false,
            List.of(),
            sentParts(cachedPrompts.mostRecentlyUsed(MAX_CACHED_PARTS)))
        .encode();
  }

  /**
   * Adds what another instance knows of the servers' cache contents.
   *
   * @throws IllegalArgumentException if {@code message} can't be decoded
   */
  void mergeCachedPrompts(byte[] message) {
    recordCachedParts(LoadMessage.decode(message).sentParts());
  }

  /** Processes a load message of another instance. */
  public void receive(byte[] message) {
    LoadMessage received;
    try {
      received = LoadMessage.decode(message);
    } catch (IllegalArgumentException e) {
      droppedMessages++;
      LOG.debug("dropped a load message that could not be decoded: {}", e.getMessage());
      return;
    }
    Instant now = clock.instant();
    boolean accepted =
        switch (received.scope()) {
          case INSTANCE -> memberLoads.receive(received, now);
          case GROUP -> groupLoads.receive(received, now);
          case OTHERS -> peerLoads.receive(received, now);
        };
    if (accepted) {
      lastReceivedAt = now;
      sumsValidUntil = Instant.MIN;
      if (received.scope() == LoadMessage.Scope.OTHERS) {
        collectors.onReceived(received.sender(), now);
      }
    }
    recordCachedParts(received.sentParts());
    keepForForwarding(received, now);
  }

  /** Keeps prompt parts that a collector has to forward to its group or to other collectors. */
  private void keepForForwarding(LoadMessage received, Instant now) {
    switch (received.scope()) {
      case INSTANCE -> received.sentParts().forEach(part -> groupParts.add(part, now));
      case GROUP -> received.sentParts().forEach(part -> otherGroupsParts.add(part, now));
      case OTHERS -> {}
    }
  }

  private List<LoadMessage.SentPart> sentParts(List<CachedPrompts.CachedPart> cachedParts) {
    return cachedParts.stream()
        .map(
            cachedPart ->
                new LoadMessage.SentPart(hash(cachedPart.server()), cachedPart.partHash()))
        .toList();
  }

  private void recordCachedParts(List<LoadMessage.SentPart> sent) {
    if (sent.isEmpty()) {
      return;
    }
    refreshServerHashes();
    for (LoadMessage.SentPart each : sent) {
      BackendServer server = serversByHash.get(each.serverHash());
      if (server != null) {
        cachedPrompts.onReceived(
            new CachedPrompts.CachedPart(server.incarnation(), each.partHash()));
      }
    }
  }

  private void refreshServerHashes() {
    if (hashedChanges != servers.changes()) {
      hashedChanges = servers.changes();
      serversByHash.clear();
      servers.all().forEach(each -> serversByHash.put(hash(each.incarnation()), each));
      sumsValidUntil = Instant.MIN;
    }
  }

  /** The load that the other instances have outstanding at the servers. */
  public PeerLoads peerLoads() {
    Instant now = clock.instant();
    refreshServerHashes();
    if (!now.isBefore(sumsValidUntil)) {
      // Copied once here, as a copy for each choice of a server would be costly.
      sumsByServer = Map.copyOf(sumByServer(now));
      sumsValidUntil = now.plus(SUMS_MAX_AGE);
    }
    return new PeerLoads(
        sumsByServer,
        lastReceivedAt == null ? Duration.ZERO : Duration.between(lastReceivedAt, now));
  }

  /**
   * Sums the loads of the other instances by server. An instance that isn't a collector uses the
   * sums that its collector has sent, if there are recent ones.
   */
  private Map<BackendServerId, PeerLoad> sumByServer(Instant now) {
    LoadSums total = new LoadSums();
    boolean collected =
        !collectors.isCollector() && !peerLoads.loadsOf(collectors.collector(), now).isEmpty();
    if (collected) {
      total.add(peerLoads.loadsOf(collectors.collector(), now).values());
    } else {
      memberLoads.addTo(total, now);
      groupLoads.addTo(total, now);
    }
    Map<BackendServerId, PeerLoad> byServer = new HashMap<>();
    total
        .asMap()
        .forEach(
            (hash, load) -> {
              BackendServer server = serversByHash.get(hash);
              if (server != null) {
                byServer.put(server.id(), load);
              }
            });
    return byServer;
  }

  private LoadSums ownLoads() {
    LoadSums own = new LoadSums();
    serversByHash.forEach(
        (hash, server) -> {
          if (server.running() > 0) {
            long ahead = Math.max(0, server.promptTokensAhead());
            own.add(List.of(new LoadMessage.ServerLoad(hash, server.running(), ahead)));
          }
        });
    return own;
  }

  /**
   * A hash of a server's id and start time. The start time is included so that load which a peer
   * still has at an earlier process of the server isn't attributed to the present one.
   */
  private static int hash(ServerIncarnation incarnation) {
    String start = incarnation.startedAt().map(at -> "\n" + at.toEpochMilli()).orElse("");
    return (int) Hashing.komihash5_0().hashCharsToLong(incarnation.id().name() + start);
  }
}
