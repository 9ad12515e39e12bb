package org.teaseldeal.bench.slope;

import java.lang.ref.Reference;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import org.teaseldeal.bench.slope.Slope.Point;

/** Measures an instance's cost by the number of peers, backend servers, streams and requests. */
final class InstanceSlopes {
  private static final int REPETITIONS = 20;
  private static final int TICKS = 200;
  private static final int FEW_SERVERS = 13;
  private static final int FEW_PEERS = 9;
  private static final int SETTLE_SECONDS = 5;
  private static final int OPEN_SECONDS = 120;
  private static final int USUAL_RATE = 20;
  private static final int WARM_UP_SIZE = 50;
  private static final int WARM_UP_TICKS = 20_000;
  private static final Duration WARM_UP = Duration.ofMinutes(5);
  private static final int[] LEDGER_STREAMS = {1, 16, 64, 256};
  private static final int[] PEERS = {1, 3, 9, 27, 81, 419};
  private static final int[] SERVERS = {13, 100, 400, 1_400};
  private static final int[] SERVERS_IN_USE = {13, 50, 100, 200};
  private static final int STREAMS_PER_SERVER = 10;
  private static final int[] STREAMS = {0, 100, 300, 1_000, 3_000};
  private static final int[] REQUESTS_PER_SECOND = {0, 2, 5, 10, 20, 50};
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration LONG_RUN = Duration.ofSeconds(20);

  List<Slope> measure() {
    warmUp();
    List<Slope> slopes = new ArrayList<>();
    slopes.add(heartbeatSlope());
    slopes.addAll(idleSlopes("peer", PEERS, peers -> new SimulatedInstance(peers, FEW_SERVERS)));
    slopes.addAll(
        idleSlopes("backend server", SERVERS, count -> new SimulatedInstance(FEW_PEERS, count)));
    slopes.addAll(streamSlopes());
    slopes.add(streamHeap());
    slopes.add(peerTrafficByServersInUse());
    slopes.addAll(requestSlopes());
    slopes.add(placementSlope());
    return slopes;
  }

  /** Runs the measured code before the measurement, because uncompiled code would distort it. */
  private static void warmUp() {
    SimulatedInstance instance = runUntilReady(new SimulatedInstance(WARM_UP_SIZE, WARM_UP_SIZE));
    serve(instance, WARM_UP_SIZE, WARM_UP);
    instance.tick(WARM_UP_TICKS);
  }

  private static Slope heartbeatSlope() {
    List<Point> bytes = new ArrayList<>();
    for (int streams : LEDGER_STREAMS) {
      bytes.add(point(streams, SimulatedInstance.heartbeat(1, streams).length));
    }
    return Slope.fit("heartbeat, octets", "ledger stream", bytes);
  }

  private static List<Slope> idleSlopes(
      String per, int[] sizes, IntFunction<SimulatedInstance> create) {
    List<Point> micros = new ArrayList<>();
    List<Point> tick = new ArrayList<>();
    List<Point> sent = new ArrayList<>();
    List<Point> appends = new ArrayList<>();
    for (int size : sizes) {
      SimulatedInstance instance = runUntilReady(create.apply(size));
      micros.add(point(size, ResourceMeter.minCpuMicros(REPETITIONS, () -> instance.run(SECOND))));
      tick.add(point(size, tickMicros(instance)));
      sent.add(point(size, perSecond(instance, SimulatedInstance::peerBytes)));
      appends.add(point(size, perSecond(instance, SimulatedInstance::appends)));
    }
    return List.of(
        Slope.fit("idle processor time, us/s", per, micros),
        Slope.fit("idle tick, us", per, tick),
        Slope.fit("idle octets sent to peers /s", per, sent),
        Slope.fit("idle log records /s", per, appends));
  }

  private static SimulatedInstance runUntilReady(SimulatedInstance instance) {
    instance.run(Duration.ofSeconds(SETTLE_SECONDS));
    if (!instance.ready()) {
      throw new IllegalStateException("the instance did not become ready");
    }
    return instance;
  }

  private static List<Slope> streamSlopes() {
    List<Point> tick = new ArrayList<>();
    List<Point> second = new ArrayList<>();
    List<Point> frames = new ArrayList<>();
    for (int size : STREAMS) {
      SimulatedInstance instance = withStreams(FEW_SERVERS, size);
      tick.add(point(size, tickMicros(instance)));
      second.add(point(size, ResourceMeter.minCpuMicros(REPETITIONS, () -> instance.run(SECOND))));
      frames.add(point(size, ResourceMeter.minCpuMicros(TICKS, () -> stepWithFrames(instance))));
    }
    return List.of(
        Slope.fit("tick, us", "open stream", tick),
        Slope.fit("processor time without frames, us/s", "open stream", second),
        Slope.fit("a tick with a frame for each, us", "open stream", frames));
  }

  private static SimulatedInstance withStreams(int servers, int count) {
    SimulatedInstance instance = runUntilReady(new SimulatedInstance(FEW_PEERS, servers));
    for (int i = 0; i < count; i++) {
      instance.sendCall();
    }
    for (int i = 0; i < OPEN_SECONDS && instance.openStreams() < count; i++) {
      instance.run(SECOND);
    }
    if (instance.openStreams() != count) {
      throw new IllegalStateException(
          "open streams were %d, expected %d".formatted(instance.openStreams(), count));
    }
    return instance;
  }

  /**
   * Measures the heap per open stream. Request bodies are not included, because all calls share one
   * body.
   */
  private static Slope streamHeap() {
    List<Point> heap = new ArrayList<>();
    for (int size : STREAMS) {
      long before = ResourceMeter.retainedBytes();
      SimulatedInstance instance = withStreams(FEW_SERVERS, size);
      heap.add(point(size, ResourceMeter.retainedBytes() - before));
      Reference.reachabilityFence(instance);
    }
    return Slope.fit("retained heap, octets", "open stream", heap);
  }

  /**
   * Measures the traffic to one peer by the number of backend servers in use, since a heartbeat
   * lists every server that runs requests of this instance.
   */
  private static Slope peerTrafficByServersInUse() {
    List<Point> sent = new ArrayList<>();
    for (int servers : SERVERS_IN_USE) {
      SimulatedInstance instance = withStreams(servers, STREAMS_PER_SERVER * servers);
      sent.add(point(servers, perSecond(instance, SimulatedInstance::peerBytes) / FEW_PEERS));
    }
    return Slope.fit("octets sent to one peer /s", "server in use", sent);
  }

  private static void stepWithFrames(SimulatedInstance instance) {
    instance.sendFrames();
    instance.step();
  }

  private static List<Slope> requestSlopes() {
    List<Point> micros = new ArrayList<>();
    List<Point> appends = new ArrayList<>();
    List<Point> appended = new ArrayList<>();
    List<Point> backups = new ArrayList<>();
    for (int rate : REQUESTS_PER_SECOND) {
      SimulatedInstance instance = runUntilReady(new SimulatedInstance(FEW_PEERS, FEW_SERVERS));
      serve(instance, rate, SECOND);
      double seconds = LONG_RUN.toSeconds();
      long appendsBefore = instance.appends();
      long appendedBefore = instance.appendedBytes();
      long backupsBefore = instance.backupBytes();
      serve(instance, rate, LONG_RUN);
      appends.add(point(rate, (instance.appends() - appendsBefore) / seconds));
      appended.add(point(rate, (instance.appendedBytes() - appendedBefore) / seconds));
      backups.add(point(rate, (instance.backupBytes() - backupsBefore) / seconds));
      micros.add(
          point(
              rate, ResourceMeter.minCpuMicros(REPETITIONS, () -> serve(instance, rate, SECOND))));
    }
    String per = "request a second";
    return List.of(
        Slope.fit("processor time, us/s", per, micros),
        Slope.fit("log records /s", per, appends),
        Slope.fit("log octets /s", per, appended),
        Slope.fit("octets of charge backups /s", per, backups));
  }

  private static Slope placementSlope() {
    List<Point> micros = new ArrayList<>();
    for (int size : SERVERS) {
      SimulatedInstance instance = runUntilReady(new SimulatedInstance(FEW_PEERS, size));
      serve(instance, USUAL_RATE, SECOND);
      double fastest =
          ResourceMeter.minCpuMicros(REPETITIONS, () -> serve(instance, USUAL_RATE, SECOND));
      micros.add(point(size, fastest));
    }
    return Slope.fit("processor time at 20 requests/s, us/s", "backend server", micros);
  }

  /**
   * Sends calls at an even rate for a duration. Each answer has one frame and takes a few ticks.
   */
  private static void serve(SimulatedInstance instance, int rate, Duration duration) {
    long rounds = duration.dividedBy(SimulatedInstance.TICK.multipliedBy(2));
    double due = 0;
    for (long round = 0; round < rounds; round++) {
      instance.finishStreams();
      for (due += rate * duration.toSeconds() / (double) rounds; due >= 1; due--) {
        instance.sendCall();
      }
      instance.step();
      instance.sendFrames();
      instance.step();
    }
  }

  private static double tickMicros(SimulatedInstance instance) {
    return ResourceMeter.minCpuMicros(REPETITIONS, () -> instance.tick(TICKS)) / TICKS;
  }

  private static double perSecond(
      SimulatedInstance instance, ToDoubleFunction<SimulatedInstance> count) {
    double before = count.applyAsDouble(instance);
    instance.run(LONG_RUN);
    return (count.applyAsDouble(instance) - before) / LONG_RUN.toSeconds();
  }

  private static Point point(int size, double value) {
    return new Point(size, value);
  }
}
