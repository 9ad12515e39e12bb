package org.teaseldeal.operator.fake;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.SharedEventLoops;

/**
 * A fake platform with one log stream and a list of instances. The record at offset n has the log
 * time of the first record plus n seconds.
 */
public final class FakePlatform implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Instant FIRST_RECORD = Instant.parse("2026-12-02T08:00:00Z");
  private static final Duration LONG_POLL_DELAY = Duration.ofMillis(10);

  private final List<byte[]> records = new ArrayList<>();
  private final Map<String, ObjectNode> instances = new HashMap<>();
  private final Map<IncarnationId, Long> sequences = new HashMap<>();
  private final HttpServer server;
  private int earliest;
  private boolean logDown;
  private boolean listDown;
  private int answersToLose;
  private int appendsToRefuse;
  private int maxRecordsPerRead = Integer.MAX_VALUE;
  private Duration readDelay = Duration.ZERO;
  private boolean appendBeforeEachRead;
  private Runnable beforeNextAppend = () -> {};

  /** Starts a platform with an empty log and an empty list. */
  public FakePlatform() throws IOException {
    server = HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), this::handle);
  }

  /** Returns the address of the platform. */
  public String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  /** Sets whether all requests to the log are answered with status 503. */
  public synchronized void logDown(boolean down) {
    logDown = down;
  }

  /**
   * Sets whether all requests other than those to the log, such as for the list, are answered with
   * status 503.
   */
  public synchronized void listDown(boolean down) {
    listDown = down;
  }

  /**
   * Stores the next {@code count} appended records but closes the connection instead of responding.
   */
  public synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  /** Refuses the next {@code count} appends with status 429, as for an exceeded append rate. */
  public synchronized void refuseAppends(int count) {
    appendsToRefuse = count;
  }

  /** Runs {@code action} once, just before the next append takes effect. */
  public synchronized void beforeNextAppend(Runnable action) {
    beforeNextAppend = action;
  }

  /** Delays each read by {@code delay} and returns at most {@code max} records. */
  public synchronized void readSlowly(Duration delay, int max) {
    readDelay = delay;
    maxRecordsPerRead = max;
  }

  /** Appends a record of another writer before each read is answered. */
  public synchronized void appendBeforeEachRead() {
    appendBeforeEachRead = true;
  }

  /** Removes all records before {@code offset}, as if they had expired. */
  public synchronized void expireBefore(int offset) {
    earliest = offset;
  }

  /** Returns the number of records appended so far. */
  public synchronized int recordCount() {
    return records.size();
  }

  /** Appends one record with {@code entries}, written by {@code writer}. */
  public synchronized void write(String writer, Entry... entries) {
    IncarnationId incarnation = new IncarnationId(writer);
    long sequence = sequences.merge(incarnation, 1L, Long::sum);
    records.add(
        BatchCodec.encode(new Batch(incarnation, sequence, records.size() - 1, List.of(entries))));
  }

  /**
   * Puts an entry instance on the list; if {@code adminAddress} is empty, the list entry has none.
   */
  public synchronized void list(String instance, String incarnation, String adminAddress) {
    ObjectNode entry = MAPPER.createObjectNode();
    entry.put("id", instance).put("incarnation", incarnation).put("role", "router");
    entry.put("data_centre", "hall-a").put("state", "live").put("address", "127.0.0.1:1");
    if (!adminAddress.isEmpty()) {
      entry.put("admin_address", adminAddress);
    }
    instances.put(instance, entry);
  }

  /** Removes an instance from the list. */
  public synchronized void unlist(String instance) {
    instances.remove(instance);
  }

  @Override
  public void close() {
    server.close();
  }

  private synchronized void handle(HttpExchange exchange) {
    QueryStringDecoder query = new QueryStringDecoder(exchange.path());
    boolean log = query.path().equals("/log/teaseldeal-ledger-0/records");
    if (log ? logDown : listDown) {
      exchange.respond(503, Map.of(), new byte[0]);
    } else if (log && exchange.method().equals("POST")) {
      append(exchange);
    } else if (log) {
      read(exchange, query, true);
    } else if (query.path().equals("/instances")) {
      respondWithList(exchange);
    } else {
      exchange.respond(404, Map.of(), new byte[0]);
    }
  }

  private void append(HttpExchange exchange) {
    if (appendsToRefuse > 0) {
      appendsToRefuse--;
      exchange.respond(429, Map.of(), new byte[0]);
      return;
    }
    Runnable action = beforeNextAppend;
    beforeNextAppend = () -> {};
    action.run();
    records.add(exchange.body());
    if (answersToLose > 0) {
      answersToLose--;
      exchange.abort();
      return;
    }
    respond(exchange, 200, MAPPER.createObjectNode().put("offset", records.size() - 1));
  }

  private synchronized void read(HttpExchange exchange, QueryStringDecoder query, boolean mayWait) {
    int from = Integer.parseInt(parameter(query, "from"));
    boolean wait = !parameter(query, "wait_ms").equals("0");
    // The log may have been taken down during the long poll.
    if (logDown) {
      exchange.respond(503, Map.of(), new byte[0]);
      return;
    }
    if (appendBeforeEachRead) {
      write("another", new Entry.ReleaseClaim(new ClaimKey("key")));
    }
    Duration delay = wait && from == records.size() ? LONG_POLL_DELAY : readDelay;
    if (mayWait && !delay.isZero()) {
      SharedEventLoops.eventLoopGroup()
          .schedule(() -> read(exchange, query, false), delay.toMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    ObjectNode body =
        MAPPER.createObjectNode().put("earliest", earliest).put("next", records.size());
    if (from < earliest) {
      respond(exchange, 410, body);
      return;
    }
    ArrayNode page = body.putArray("records");
    int end = (int) Math.min(records.size(), (long) from + maxRecordsPerRead);
    for (int offset = from; offset < end; offset++) {
      page.addObject()
          .put("offset", offset)
          .put("appended_at", FIRST_RECORD.plusSeconds(offset).toString())
          .put("payload", records.get(offset));
    }
    respond(exchange, 200, body);
  }

  private static String parameter(QueryStringDecoder query, String name) {
    return query.parameters().getOrDefault(name, List.of("0")).getFirst();
  }

  private void respondWithList(HttpExchange exchange) {
    ObjectNode body = MAPPER.createObjectNode().put("as_of", FIRST_RECORD.toString());
    body.putArray("instances").addAll(instances.values());
    respond(exchange, 200, body);
  }

  private static void respond(HttpExchange exchange, int status, ObjectNode body) {
    exchange.respond(status, Map.of(), body.toString().getBytes(StandardCharsets.UTF_8));
  }
}
