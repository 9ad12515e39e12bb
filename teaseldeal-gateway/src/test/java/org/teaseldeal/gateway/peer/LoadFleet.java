package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.LoadCollectorChoice;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;

/** Instances that exchange their loads by datagrams in virtual time. A hop takes one step. */
final class LoadFleet {
  static final Duration STEP = Duration.ofMillis(20);
  static final long PROMPT_TOKENS = 5_000;

  /**
   * The number of different shared prompt parts, and the number of servers that each of them is
   * sent to.
   */
  private static final int SHARED_PARTS = 2_000;

  private static final int SERVERS_PER_PART = 3;

  private record Datagram(String to, byte[] message) {}

  /** One instance with the counts of its sent and received messages. */
  final class Instance {
    final String name;
    final ServerDirectory servers = new ServerDirectory();
    final CachedPrompts cached = new CachedPrompts();
    final LoadExchange exchange;
    private final Queue<BackendServer> running = new ArrayDeque<>();
    boolean down;
    long messageCount;
    long byteCount;

    private Instance(String name, int serverCount) {
      this.name = name;
      for (int i = 0; i < serverCount; i++) {
        servers.put(listing(i));
      }
      exchange =
          new LoadExchange(name, servers, cached, () -> names, Optional::of, this::send, clock);
    }

    private void send(String to, byte[] message) {
      count(message);
      inTransit.add(new Datagram(to, message));
    }

    private void count(byte[] message) {
      messageCount++;
      byteCount += message.length;
    }

    private void receive(byte[] message) {
      count(message);
      exchange.receive(message);
    }

    BackendServer server(int index) {
      return servers.find(id(index)).orElseThrow();
    }

    /** The number of requests that the other instances have at a server, as this one knows it. */
    int peerRequestsAt(int index) {
      return exchange.peerLoads().at(id(index)).running();
    }

    /** Sends a prompt with the shared part {@code part} to a server. */
    void start(int index, String part) {
      BackendServer server = server(index);
      server.onRequestSent(PROMPT_TOKENS);
      cached.onSent(server.incarnation(), List.of(part), clock.instant());
      running.add(server);
    }

    void endOldest() {
      BackendServer server = running.remove();
      server.onPromptRead(PROMPT_TOKENS);
      server.onRequestEnded();
    }
  }

  final ManualClock clock = new ManualClock();
  final List<Instance> instances = new ArrayList<>();
  private final Set<String> names;
  private final Map<String, Instance> byName = new HashMap<>();
  private final List<Datagram> inTransit = new ArrayList<>();
  private final Random random = new Random(5);

  LoadFleet(int size, int serverCount) {
    names =
        IntStream.range(0, size)
            .mapToObj(i -> "front-" + i)
            .collect(Collectors.toUnmodifiableSet());
    for (String name : new ArrayList<>(names).stream().sorted().toList()) {
      Instance instance = new Instance(name, serverCount);
      instances.add(instance);
      byName.put(name, instance);
    }
    run(Duration.ofSeconds(1));
  }

  void run(Duration time) {
    run(time, 0);
  }

  /**
   * Advances the time.
   *
   * @param promptsPerSecond the rate of prompts over the whole fleet; each runs for two seconds on
   *     average
   */
  void run(Duration time, double promptsPerSecond) {
    double perStep = promptsPerSecond * STEP.toMillis() / 1000;
    for (long passed = 0; passed < time.toMillis(); passed += STEP.toMillis()) {
      clock.advance(STEP);
      deliver();
      int due = (int) perStep + (random.nextDouble() < perStep % 1 ? 1 : 0);
      for (int i = 0; i < due; i++) {
        Instance instance = instances.get(random.nextInt(instances.size()));
        int part = random.nextInt(SHARED_PARTS);
        int server = (part + random.nextInt(SERVERS_PER_PART)) % instance.servers.all().size();
        instance.start(server, "subject-" + part);
      }
      instances.forEach(this::endSome);
      instances.stream().filter(each -> !each.down).forEach(each -> each.exchange.tick());
    }
  }

  private void endSome(Instance instance) {
    if (!instance.running.isEmpty()
        && random.nextDouble() < instance.running.size() * STEP.toMillis() / 2000.0) {
      instance.endOldest();
    }
  }

  private void deliver() {
    List<Datagram> due = List.copyOf(inTransit);
    inTransit.clear();
    for (Datagram each : due) {
      Instance to = byName.get(each.to());
      if (to != null && !to.down) {
        to.receive(each.message());
      }
    }
  }

  void resetCounts() {
    for (Instance each : instances) {
      each.messageCount = 0;
      each.byteCount = 0;
    }
  }

  /** The names of the collectors. */
  Set<String> collectors() {
    return LoadCollectorChoice.collectors(names);
  }

  private static BackendServerId id(int index) {
    return new BackendServerId("engine-" + index);
  }

  private static ServerListing listing(int index) {
    return new ServerListing(
        id(index),
        "models",
        "10.0.0.9:" + (8000 + index),
        "hall-a",
        "v1",
        16,
        false,
        Optional.of(Instant.EPOCH));
  }
}
