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
  private static final Duration STALE = Duration.ofSeconds(1);

  /** How long a collector sends messages to an instance after the instance's last report. */
  private static final Duration MEMBER_KEPT = Duration.ofSeconds(2);

  /** The longest time after which the sums are computed again, without loads that became stale. */
  private static final Duration SUMS_KEPT = Duration.ofMillis(100);

  /** How long reports are sent after a change; each change is repeated in several reports. */
  private static final Duration REPORT_KEPT = Duration.ofMillis(100);

  /** Limits the cache contents that a starting instance is sent to some tens of kilobytes. */
  private static final int MOST_COPIES = 4_096;

  private final String instance;
  private final ServerDirectory servers;
  private final CachedPrompts cached;
  private final LoadCollectors collectors;
  private final Function<String, Optional<String>> addresses;
  private final PeerPort port;
  private final InstantSource clock;

  private final HeardLoads reports = new HeardLoads(STALE);
  private final HeardLoads groups = new HeardLoads(STALE);
  private final HeardLoads others = new HeardLoads(STALE);
  private final RecentParts groupParts = new RecentParts();
  private final RecentParts othersParts = new RecentParts();
  private final ChangedLoads ownChanges = new ChangedLoads();
  private final ChangedLoads groupChanges = new ChangedLoads();
  private final ChangedLoads allChanges = new ChangedLoads();
  private final Map<Integer, BackendServer> byHash = new HashMap<>();
  private long hashedChanges = -1;
  private Map<BackendServerId, OthersLoad> sums = Map.of();
  private Instant sumsUntil = Instant.MIN;
  private @Nullable Instant heardAt;
  private Instant next = Instant.MIN;
  private Instant nextToGroup = Instant.MIN;
  private Instant groupToldAt = Instant.MIN;
  private Instant nextComplete = Instant.MIN;
  private long sequence;
  private long reportedWork = -1;
  private long reportedServers = -1;
  private Instant reportUntil = Instant.MIN;
  private long messagesDropped;

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
      CachedPrompts cached,
      Supplier<Set<String>> fleet,
      Function<String, Optional<String>> addresses,
      PeerPort port,
      InstantSource clock) {
    this.instance = instance;
    this.servers = servers;
    this.cached = cached;
    this.collectors = new LoadCollectors(instance, fleet);
    this.addresses = addresses;
    this.port = port;
    this.clock = clock;
    // The time of day in the upper bits makes a restarted process continue above its predecessor.
    this.sequence = clock.instant().toEpochMilli() << 16;
  }

  /**
   * Whether a load message was received recently, or there is no other instance to receive one
   * from. A collector receives messages from the other collectors, any other instance from its
   * collector, both at least every half second.
   */
  public boolean othersHeard() {
    Instant last = heardAt;
    return collectors.others().isEmpty()
        || last == null
        || !last.isBefore(clock.instant().minus(STALE));
  }

  /** The number of messages since the start that could not be decoded. */
  public long messagesDropped() {
    return messagesDropped;
  }

  /** Sends the messages that are due. */
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(next)) {
      return;
    }
    collectors.follow(now);
    next = now.plus(collectors.interval());
    followServers();
    boolean complete = !now.isBefore(nextComplete);
    if (complete) {
      nextComplete = now.plus(COMPLETE_PERIOD);
    }
    if (!collectors.own()) {
      report(complete, now);
      return;
    }
    tellCollectors(complete, now);
    if (complete || !now.isBefore(nextToGroup)) {
      nextToGroup = now.plus(GROUP_INTERVAL);
      tellGroup(complete, now);
    }
  }

  /** The time since which changes are included in a message that is sent every {@code interval}. */
  private static Instant repeatedSince(Instant now, Duration interval) {
    return now.minus(interval.multipliedBy(REPEATED_INTERVALS));
  }

  private List<LoadNews.SentPart> ownParts(Instant since) {
    return sentParts(cached.sentSince(since));
  }

  /**
   * Sends this instance's changed loads to its collector. A complete report is sent even if nothing
   * has changed, to show that the instance is present.
   *
   * <p>The servers are examined only for a while after a change. Most of the time nothing changes,
   * and examining all servers would be most of the work of an idle instance.
   */
  private void report(boolean complete, Instant now) {
    if (reportedWork != servers.workChanges() || hashedChanges != reportedServers) {
      reportedWork = servers.workChanges();
      reportedServers = hashedChanges;
      reportUntil = now.plus(REPORT_KEPT);
    }
    if (!complete && now.isAfter(reportUntil)) {
      return;
    }
    LoadSums own = ownLoads();
    ownChanges.update(own.asMap(), now);
    Instant since = repeatedSince(now, collectors.interval());
    Set<Integer> changed = ownChanges.since(since);
    List<LoadNews.SentPart> parts = ownParts(since);
    if (complete || !changed.isEmpty() || !parts.isEmpty()) {
      List<LoadNews.ServerLoad> loads = complete ? own.toList() : ownChanges.loadsOf(changed);
      send(collectors.collector(), news(LoadNews.Scope.INSTANCE, complete, loads, parts));
    }
  }

  private void tellCollectors(boolean complete, Instant now) {
    LoadSums group = ownLoads();
    reports.addTo(group, now);
    groupChanges.update(group.asMap(), now);
    Instant since = repeatedSince(now, collectors.interval());
    Set<Integer> changed = groupChanges.since(since);
    List<LoadNews.SentPart> parts = new ArrayList<>(ownParts(since));
    parts.addAll(groupParts.since(since));
    if (!complete && changed.isEmpty() && parts.isEmpty()) {
      return;
    }
    List<LoadNews.ServerLoad> loads = complete ? group.toList() : groupChanges.loadsOf(changed);
    byte[] message = news(LoadNews.Scope.GROUP, complete, loads, parts);
    collectors.others().forEach(name -> send(name, message));
  }

  private void tellGroup(boolean complete, Instant now) {
    List<String> members = reports.heardSince(now.minus(MEMBER_KEPT));
    if (members.isEmpty()) {
      return;
    }
    LoadSums all = ownLoads();
    reports.addTo(all, now);
    groups.addTo(all, now);
    allChanges.update(all.asMap(), now);
    Set<Integer> changed = allChanges.since(repeatedSince(now, GROUP_INTERVAL));
    List<LoadNews.SentPart> parts = new ArrayList<>(ownParts(groupToldAt));
    parts.addAll(groupParts.since(groupToldAt));
    parts.addAll(othersParts.since(groupToldAt));
    groupToldAt = now;
    Set<Integer> included = complete ? all.asMap().keySet() : changed;
    for (String member : members) {
      Map<Integer, LoadNews.ServerLoad> reported = reports.of(member, now);
      List<LoadNews.ServerLoad> loads =
          included.stream().map(server -> without(reported.get(server), server, all)).toList();
      send(member, news(LoadNews.Scope.OTHERS, complete, loads, parts));
    }
  }

  /** The sum of all instances' loads at a server, without the load that one instance reported. */
  private static LoadNews.ServerLoad without(
      LoadNews.@Nullable ServerLoad reported, int server, LoadSums all) {
    OthersLoad sum = all.of(server);
    if (reported == null) {
      return new LoadNews.ServerLoad(server, sum.running(), sum.promptTokensAhead());
    }
    return new LoadNews.ServerLoad(
        server,
        Math.max(0, sum.running() - reported.running()),
        Math.max(0, sum.promptTokensAhead() - reported.promptTokensAhead()));
  }

  private byte[] news(
      LoadNews.Scope scope,
      boolean complete,
      List<LoadNews.ServerLoad> loads,
      List<LoadNews.SentPart> parts) {
    return new LoadNews(scope, instance, ++sequence, complete, loads, parts).encode();
  }

  private void send(String name, byte[] message) {
    addresses.apply(name).ifPresent(address -> port.send(address, message));
  }

  /**
   * Encodes what is known of the servers' cache contents, for an instance that has just started.
   */
  byte[] cachedPrompts() {
    return new LoadNews(
            LoadNews.Scope.INSTANCE,
            instance,
            sequence,
            false,
            List.of(),
            sentParts(cached.newest(MOST_COPIES)))
        .encode();
  }

  /**
   * Adds what another instance knows of the servers' cache contents.
   *
   * @throws IllegalArgumentException if {@code message} can't be decoded
   */
  void learnCachedPrompts(byte[] message) {
    noteCached(LoadNews.decode(message).sentParts());
  }

  /** Processes a load message of another instance. */
  public void receive(byte[] message) {
    LoadNews received;
    try {
      received = LoadNews.decode(message);
    } catch (IllegalArgumentException e) {
      messagesDropped++;
      LOG.debug("dropped a load message that could not be decoded: {}", e.getMessage());
      return;
    }
    Instant now = clock.instant();
    boolean accepted =
        switch (received.scope()) {
          case INSTANCE -> reports.hear(received, now);
          case GROUP -> groups.hear(received, now);
          case OTHERS -> others.hear(received, now);
        };
    if (accepted) {
      heardAt = now;
      sumsUntil = Instant.MIN;
      if (received.scope() == LoadNews.Scope.OTHERS) {
        collectors.heard(received.sender(), now);
      }
    }
    noteCached(received.sentParts());
    passOn(received, now);
  }

  private void passOn(LoadNews received, Instant now) {
    switch (received.scope()) {
      case INSTANCE -> received.sentParts().forEach(part -> groupParts.add(part, now));
      case GROUP -> received.sentParts().forEach(part -> othersParts.add(part, now));
      case OTHERS -> {}
    }
  }

  private List<LoadNews.SentPart> sentParts(List<CachedPrompts.Copy> copies) {
    return copies.stream()
        .map(copy -> new LoadNews.SentPart(hash(copy.server()), copy.part()))
        .toList();
  }

  private void noteCached(List<LoadNews.SentPart> sent) {
    if (sent.isEmpty()) {
      return;
    }
    followServers();
    for (LoadNews.SentPart each : sent) {
      BackendServer server = byHash.get(each.server());
      if (server != null) {
        cached.onHeard(new CachedPrompts.Copy(server.incarnation(), each.part()));
      }
    }
  }

  private void followServers() {
    if (hashedChanges != servers.changes()) {
      hashedChanges = servers.changes();
      byHash.clear();
      servers.all().forEach(each -> byHash.put(hash(each.incarnation()), each));
      sumsUntil = Instant.MIN;
    }
  }

  /** The load that the other instances have outstanding at the servers. */
  public FleetLoad others() {
    Instant now = clock.instant();
    followServers();
    if (!now.isBefore(sumsUntil)) {
      sums = addUp(now);
      sumsUntil = now.plus(SUMS_KEPT);
    }
    return new FleetLoad(sums, heardAt == null ? Duration.ZERO : Duration.between(heardAt, now));
  }

  private Map<BackendServerId, OthersLoad> addUp(Instant now) {
    LoadSums total = new LoadSums();
    boolean collected = !collectors.own() && !others.of(collectors.collector(), now).isEmpty();
    if (collected) {
      total.add(others.of(collectors.collector(), now).values());
    } else {
      reports.addTo(total, now);
      groups.addTo(total, now);
    }
    Map<BackendServerId, OthersLoad> byServer = new HashMap<>();
    total
        .asMap()
        .forEach(
            (hash, load) -> {
              BackendServer server = byHash.get(hash);
              if (server != null) {
                byServer.put(server.id(), load);
              }
            });
    return byServer;
  }

  private LoadSums ownLoads() {
    LoadSums own = new LoadSums();
    byHash.forEach(
        (hash, server) -> {
          if (server.running() > 0) {
            long ahead = Math.max(0, server.promptTokensAhead());
            own.add(List.of(new LoadNews.ServerLoad(hash, server.running(), ahead)));
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
