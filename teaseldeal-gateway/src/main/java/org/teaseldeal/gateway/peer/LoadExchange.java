package org.teaseldeal.gateway.peer;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
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
 * <p>An instance sees a seventh of an engine's work. Without the rest, an engine that reads a long
 * prompt for another instance looks idle, and callers whose prompts are sent there wait behind it.
 * What is missing for a moment costs a worse choice, nothing else, so datagrams serve.
 */
public final class LoadExchange {
  private static final Logger LOG = LoggerFactory.getLogger(LoadExchange.class);

  /** Between messages: about the time in which an instance sends two prompts. */
  private static final Duration INTERVAL = Duration.ofMillis(100);

  /** Each message repeats what was sent since; two of three may be lost. */
  private static final Duration REPEATED = Duration.ofMillis(300);

  /** News older than this say nothing: most prompts were read since. */
  private static final Duration STALE = Duration.ofSeconds(1);

  /** Bounds what a starting instance is told to some ten kilobytes. */
  private static final int MOST_COPIES = 4_096;

  /** Bounds memory over many restarts; a fleet has some hundreds, which are soon hashed anew. */
  private static final int MOST_HASHES = 4_096;

  private record Heard(LoadNews news, Instant at) {}

  private final String instance;
  private final ServerDirectory servers;
  private final CachedPrompts cached;
  private final Supplier<List<String>> others;
  private final PeerPort port;
  private final InstantSource clock;
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<ServerIncarnation, Long> hashes = new HashMap<>();
  private Instant next = Instant.MIN;
  private long sequence;
  private boolean idleTold;

  /** Creates the exchange of {@code instance}; {@code others} gives the other peers' addresses. */
  public LoadExchange(
      String instance,
      ServerDirectory servers,
      CachedPrompts cached,
      Supplier<List<String>> others,
      PeerPort port,
      InstantSource clock) {
    this.instance = instance;
    this.servers = servers;
    this.cached = cached;
    this.others = others;
    this.port = port;
    this.clock = clock;
    // A process that starts anew goes on above its predecessor.
    this.sequence = clock.instant().toEpochMilli() << 16;
  }

  /** Tells the others if it is time to. */
  public void tick() {
    Instant now = clock.instant();
    if (now.isBefore(next)) {
      return;
    }
    next = now.plus(INTERVAL);
    List<LoadNews.ServerLoad> loads = ownLoads();
    if (loads.isEmpty() && idleTold) {
      return;
    }
    idleTold = loads.isEmpty();
    byte[] message =
        new LoadNews(instance, ++sequence, loads, sentParts(cached.sentSince(now.minus(REPEATED))))
            .encode();
    others.get().forEach(address -> port.send(address, message));
  }

  /** What is known of the servers' caches, for an instance that has just started. */
  byte[] cachedPrompts() {
    return new LoadNews(instance, sequence, List.of(), sentParts(cached.newest(MOST_COPIES)))
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
      LOG.debug("a message of a peer is dropped: {}", e.getMessage());
      return;
    }
    Heard before = heard.get(news.instance());
    if (before == null || before.news().sequence() < news.sequence()) {
      heard.put(news.instance(), new Heard(news, clock.instant()));
    }
    noteCached(news.sentParts());
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
    Map<Long, ServerIncarnation> byHash = new HashMap<>();
    servers.all().forEach(each -> byHash.put(hash(each.incarnation()), each.incarnation()));
    for (LoadNews.SentPart each : sent) {
      ServerIncarnation server = byHash.get(each.server());
      if (server != null) {
        cached.onHeard(new CachedPrompts.Copy(server, each.part()));
      }
    }
  }

  /** What the others have outstanding, by server; servers without any are left out. */
  public Map<BackendServerId, OthersLoad> others() {
    Instant oldest = clock.instant().minus(STALE);
    Map<Long, OthersLoad> sums = new HashMap<>();
    for (Heard each : heard.values()) {
      if (each.at().isBefore(oldest)) {
        continue;
      }
      for (LoadNews.ServerLoad load : each.news().loads()) {
        sums.merge(
            load.server(),
            new OthersLoad(load.running(), load.promptTokensAhead()),
            OthersLoad::plus);
      }
    }
    Map<BackendServerId, OthersLoad> byServer = new HashMap<>();
    for (BackendServer server : servers.all()) {
      OthersLoad sum = sums.get(hash(server.incarnation()));
      if (sum != null) {
        byServer.put(server.id(), sum);
      }
    }
    return byServer;
  }

  private List<LoadNews.ServerLoad> ownLoads() {
    List<LoadNews.ServerLoad> loads = new ArrayList<>();
    for (BackendServer server : servers.all()) {
      if (server.running() > 0) {
        int ahead = (int) Math.clamp(server.promptTokensAhead(), 0, Integer.MAX_VALUE);
        loads.add(new LoadNews.ServerLoad(hash(server.incarnation()), server.running(), ahead));
      }
    }
    return loads;
  }

  /**
   * Differs with the start, so that what a peer still has at an earlier process isn't taken for the
   * load of the one that runs.
   */
  private long hash(ServerIncarnation incarnation) {
    if (hashes.size() >= MOST_HASHES) {
      hashes.clear();
    }
    return hashes.computeIfAbsent(
        incarnation, each -> Hashing.komihash5_0().hashCharsToLong(hashedName(each)));
  }

  private static String hashedName(ServerIncarnation incarnation) {
    String start = incarnation.startedAt().map(at -> "\n" + at.toEpochMilli()).orElse("");
    return incarnation.id().name() + start;
  }
}
