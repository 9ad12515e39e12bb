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
 * Tells the other instances what this one has outstanding at each backend server, and adds up what
 * they tell.
 *
 * <p>An instance sees a small part of an engine's work. Without the rest, an engine that reads a
 * long prompt for another instance looks idle, and callers whose prompts are sent there wait behind
 * it. What is missing for a moment costs a worse choice, nothing else, so datagrams serve.
 *
 * <p>An instance reports to one collector, which tells the other collectors what its group has
 * outstanding, and each instance of its group what all others have ({@link LoadCollectors}). In a
 * small fleet all collect, and no group has more than its collector.
 */
public final class LoadExchange {
  private static final Logger LOG = LoggerFactory.getLogger(LoadExchange.class);

  /** Each message repeats what was sent since; one of two may be lost. */
  private static final int REPEATED_INTERVALS = 2;

  /** Between messages of a collector to its group, each of which has news of most servers. */
  private static final Duration GROUP_INTERVAL = Duration.ofMillis(80);

  /** Between messages that tell all servers, so that what was lost is told again. */
  private static final Duration COMPLETE_PERIOD = Duration.ofMillis(500);

  /** News older than this say nothing: most prompts were read since. */
  private static final Duration STALE = Duration.ofSeconds(1);

  /** A collector tells an instance for so long after its last report. */
  private static final Duration MEMBER_KEPT = Duration.ofSeconds(2);

  /** Sums are added up anew after this at the latest, without what has become stale. */
  private static final Duration SUMS_KEPT = Duration.ofMillis(100);

  /** After a change, reports are made up for so long, as each tells it more than once. */
  private static final Duration REPORT_KEPT = Duration.ofMillis(100);

  /** Bounds what a starting instance is told to some ten kilobytes. */
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
   * Creates the exchange of {@code instance}.
   *
   * @param fleet the names of all instances; an unmodifiable set, another one after each change
   * @param addresses where an instance can be reached
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
    // A process that starts anew goes on above its predecessor.
    this.sequence = clock.instant().toEpochMilli() << 16;
  }

  /**
   * Whether another instance has been heard lately, or there is none to be heard. One that collects
   * is told by the other collectors, any other one by its collector, each half second at least.
   */
  public boolean othersHeard() {
    Instant heard = heardAt;
    return collectors.others().isEmpty()
        || heard == null
        || !heard.isBefore(clock.instant().minus(STALE));
  }

  /** Messages that could not be read, since the start. */
  public long messagesDropped() {
    return messagesDropped;
  }

  /** Tells the others if it is time to. */
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

  /** Since when changes are told, by one who tells them each {@code interval}. */
  private static Instant repeatedSince(Instant now, Duration interval) {
    return now.minus(interval.multipliedBy(REPEATED_INTERVALS));
  }

  private List<LoadNews.SentPart> ownParts(Instant since) {
    return sentParts(cached.sentSince(since));
  }

  /**
   * Tells this instance's collector what has changed, or that it is there.
   *
   * <p>Most of the time nothing has changed, and looking through all servers would be most of what
   * an idle instance does.
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
    Set<Integer> told = complete ? all.asMap().keySet() : changed;
    for (String member : members) {
      Map<Integer, LoadNews.ServerLoad> reported = reports.of(member, now);
      List<LoadNews.ServerLoad> loads =
          told.stream().map(server -> without(reported.get(server), server, all)).toList();
      send(member, news(LoadNews.Scope.OTHERS, complete, loads, parts));
    }
  }

  /** What all have outstanding at a server, without what one of them has reported. */
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

  /** What is known of the servers' caches, for an instance that has just started. */
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
   * Takes in what another instance knows of the servers' caches.
   *
   * @throws IllegalArgumentException if it can't be read
   */
  void learnCachedPrompts(byte[] message) {
    noteCached(LoadNews.decode(message).sentParts());
  }

  /** Takes in a message of another instance. */
  public void receive(byte[] message) {
    LoadNews news;
    try {
      news = LoadNews.decode(message);
    } catch (IllegalArgumentException e) {
      messagesDropped++;
      LOG.debug("a message of a peer is dropped: {}", e.getMessage());
      return;
    }
    Instant now = clock.instant();
    boolean heard =
        switch (news.scope()) {
          case INSTANCE -> reports.hear(news, now);
          case GROUP -> groups.hear(news, now);
          case OTHERS -> others.hear(news, now);
        };
    if (heard) {
      heardAt = now;
      sumsUntil = Instant.MIN;
      if (news.scope() == LoadNews.Scope.OTHERS) {
        collectors.heard(news.sender(), now);
      }
    }
    noteCached(news.sentParts());
    passOn(news, now);
  }

  private void passOn(LoadNews news, Instant now) {
    switch (news.scope()) {
      case INSTANCE -> news.sentParts().forEach(part -> groupParts.add(part, now));
      case GROUP -> news.sentParts().forEach(part -> othersParts.add(part, now));
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

  /** What the others have outstanding. */
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
    LoadSums heard = new LoadSums();
    boolean told = !collectors.own() && !others.of(collectors.collector(), now).isEmpty();
    if (told) {
      heard.add(others.of(collectors.collector(), now).values());
    } else {
      reports.addTo(heard, now);
      groups.addTo(heard, now);
    }
    Map<BackendServerId, OthersLoad> byServer = new HashMap<>();
    heard
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
   * Differs with the start, so that what a peer still has at an earlier process isn't taken for the
   * load of the one that runs.
   */
  private static int hash(ServerIncarnation incarnation) {
    String start = incarnation.startedAt().map(at -> "\n" + at.toEpochMilli()).orElse("");
    return (int) Hashing.komihash5_0().hashCharsToLong(incarnation.id().name() + start);
  }
}
