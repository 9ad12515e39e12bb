package org.teaseldeal.bench.cost;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.bench.load.LoadResult;
import org.teaseldeal.bench.load.LoadRunner;
import org.teaseldeal.bench.load.Outcome;
import org.teaseldeal.bench.load.Percentiles;
import org.teaseldeal.bench.scenario.Flow;
import org.teaseldeal.bench.scenario.Scenario;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;

/** Measures calls of an engine through a router and directly, in one run. */
public final class CostRun {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CUSTOMER = "mill-buyers";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Duration CALL_INTERVAL = Duration.ofMillis(2);
  private static final int WARM_UP_CALLS = 300;
  private static final int ANSWER_TOKENS = 4;
  private static final Duration THROUGHPUT_TIME = Duration.ofSeconds(10);
  private static final double CLOCK_TICKS_PER_SECOND = 100;

  private final HttpClient client;
  private final String engine;
  private final String router;
  private final long routerPid;
  private final String run = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
  private long calls;

  public CostRun(HttpClient client, String engine, String router, long routerPid) {
    this.client = client;
    this.engine = engine;
    this.router = router;
    this.routerPid = routerPid;
  }

  /**
   * The latencies of direct and routed calls, and the number of calls without a complete answer.
   */
  public record AddedLatency(PathLatencies direct, PathLatencies routed, long failed) {}

  /** The times to the first part and to the end of an answer, for one of the two paths. */
  public record PathLatencies(Percentiles toFirst, Percentiles toEnd) {}

  private static final class Aggregate {
    private final Histogram toFirst = new Histogram(3);
    private final Histogram toEnd = new Histogram(3);

    PathLatencies latencies() {
      return new PathLatencies(Percentiles.of(toFirst), Percentiles.of(toEnd));
    }
  }

  /**
   * The load that a router served, and the processor time that it used.
   *
   * @param answers the number of complete answers in time
   * @param notInTime the number of other requests
   */
  public record Throughput(
      long answers, long notInTime, long frames, double seconds, double processorSeconds) {}

  /**
   * Alternates direct and routed calls, one at a time, so that both run under the same conditions.
   */
  public AddedLatency measureAddedLatency(int each) throws InterruptedException {
    alternate(WARM_UP_CALLS, new Aggregate(), new Aggregate());
    Aggregate direct = new Aggregate();
    Aggregate routed = new Aggregate();
    long failed = alternate(each, direct, routed);
    return new AddedLatency(direct.latencies(), routed.latencies(), failed);
  }

  /** Sends requests through the router at a moderate rate, first to warm up and then measured. */
  public Throughput measureThroughput(double perSecond, int tokens)
      throws IOException, InterruptedException {
    Scenario scenario = scenario(perSecond, tokens);
    LoadRunner runner = new LoadRunner(client, List.of(router));
    runner.run(scenario, run + "w" + tokens, "warm-up", line -> {});
    double before = processorSeconds();
    LoadResult result = runner.run(scenario, run + "m" + tokens, "measured", line -> {});
    double used = processorSeconds() - before;
    long answers = result.all().outcomes().getOrDefault(Outcome.IN_TIME, 0L);
    return new Throughput(
        answers, result.all().sent() - answers, result.all().frames(), result.seconds(), used);
  }

  private long alternate(int each, Aggregate direct, Aggregate routed) throws InterruptedException {
    long failed = 0;
    for (int i = 0; i < each; i++) {
      failed += measureCall(engine, "fleece-query", Map.of("Attempt-Id", run + "-" + i), direct);
      failed += measureCall(router, "fleece-query", Map.of(), routed);
    }
    return failed;
  }

  private long measureCall(
      String address, String service, Map<String, String> headers, Aggregate aggregate)
      throws InterruptedException {
    Thread.sleep(CALL_INTERVAL);
    HttpCallRequest request = request(address, service, headers);
    AnswerTimer answer = new AnswerTimer();
    client.send(request, answer);
    AnswerTimer.Times times = answer.times.join();
    if (!times.isComplete()) {
      return 1;
    }
    aggregate.toFirst.recordValue(times.toFirst());
    aggregate.toEnd.recordValue(times.toEnd());
    return 0;
  }

  private HttpCallRequest request(String address, String service, Map<String, String> extra) {
    calls++;
    Map<String, String> headers = new HashMap<>(extra);
    headers.put("Authorization", "Bearer example-" + CUSTOMER);
    headers.put("Content-Type", "application/json");
    if (!extra.isEmpty()) {
      headers.put("Request-Id", "%s-%d".formatted(run, calls));
    }
    return new HttpCallRequest(
        address, "POST", "/v1/chat/completions", headers, chat(service), TIMEOUT);
  }

  private byte[] chat(String service) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", service);
    body.put("stream", true);
    body.put("max_tokens", ANSWER_TOKENS);
    body.put("x_output_tokens", ANSWER_TOKENS);
    body.putArray("messages")
        .addObject()
        .put("role", "user")
        .put("content", "%s call %d of a light load".formatted(run, calls));
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static Scenario scenario(double perSecond, int tokens) {
    Flow flow =
        new Flow(
            "queries",
            Flow.Kind.MODEL,
            ServiceId.of("auction", "fleece-query"),
            CustomerId.parse("auction/" + CUSTOMER),
            "example-" + CUSTOMER,
            perSecond,
            0,
            10,
            tokens,
            TIMEOUT,
            false,
            true);
    return new Scenario(
        "rate", "Moderate rate", 1, THROUGHPUT_TIME, List.of(flow), List.of(), List.of());
  }

  /**
   * Returns the user and system time from fields 14 and 15 of {@code /proc/PID/stat}. Field 2, the
   * name in parentheses, may contain spaces, so the fields are counted from its end.
   */
  private double processorSeconds() throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(routerPid), "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
  }
}
