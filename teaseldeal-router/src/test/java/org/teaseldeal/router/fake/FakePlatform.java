package org.teaseldeal.router.fake;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.IpAddresses;
import org.teaseldeal.net.SharedEventLoops;

/** A platform that serves its log and its instance list from memory over HTTP. */
public final class FakePlatform implements AutoCloseable {
  private static final StreamId STREAM = new StreamId(0);
  private static final IncarnationId OPERATOR = new IncarnationId("operator.1");
  private static final long POLL_INTERVAL_MS = 20;

  private final List<String> records = new ArrayList<>();
  private final Map<String, String> entries = new TreeMap<>();
  private final List<String> registrationRequests = new ArrayList<>();
  private final HttpServer server =
      HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), this::handle);
  private long operatorSequence;

  public FakePlatform() throws IOException {}

  public String address() {
    return IpAddresses.format(server.address());
  }

  /** Appends a batch of entries to the log in the name of an operator. */
  public synchronized void publish(Entry... entries) {
    append(
        BatchCodec.encode(
            new Batch(OPERATOR, ++operatorSequence, records.size() - 1L, List.of(entries))));
  }

  /** Adds a live backend server to the instance list. */
  public synchronized void addBackendServer(String id, String role, String pool, String address) {
    entries.put(
        id,
        """
        {"id":"%s","incarnation":"%s.1","role":"%s","pool":"%s","address":"%s",\
        "data_centre":"hal-nord","state":"live"}"""
            .formatted(id, id, role, pool, address));
  }

  /** Adds {@code json} to the instance list as it is, even if it is not a valid entry. */
  public synchronized void addRawEntry(String id, String json) {
    entries.put(id, json);
  }

  /** Returns the method, path and body of each registration request so far, in order. */
  public synchronized List<String> registrations() {
    return List.copyOf(registrationRequests);
  }

  @Override
  public void close() {
    server.close();
  }

  private synchronized void append(byte[] payload) {
    records.add(
        "{\"offset\":%d,\"appended_at\":\"%s\",\"payload\":\"%s\"}"
            .formatted(records.size(), Instant.now(), Base64.getEncoder().encodeToString(payload)));
  }

  private void handle(HttpExchange exchange) {
    String path = exchange.path();
    if (path.startsWith("/log/" + STREAM.logName())) {
      if (exchange.method().equals("POST")) {
        append(exchange.body());
        respond(exchange, "{\"offset\":%d}".formatted(size() - 1));
      } else {
        read(exchange, Integer.parseInt(path.replaceAll(".*[?&]from=([0-9]+).*", "$1")), 50);
      }
    } else if (path.equals("/instances")) {
      respond(exchange, instanceList());
    } else {
      recordRegistration(exchange);
      respond(exchange, "{}");
    }
  }

  private synchronized int size() {
    return records.size();
  }

  private synchronized String instanceList() {
    return "{\"as_of\":\"%s\",\"instances\":[%s]}"
        .formatted(Instant.now(), String.join(",", entries.values()));
  }

  private synchronized void recordRegistration(HttpExchange exchange) {
    registrationRequests.add(
        "%s %s %s"
            .formatted(
                exchange.method(),
                exchange.path(),
                new String(exchange.body(), StandardCharsets.UTF_8)));
  }

  private synchronized void read(HttpExchange exchange, int from, int polls) {
    if (from >= records.size() && polls > 0) {
      var unused =
          SharedEventLoops.eventLoopGroup()
              .schedule(
                  () -> read(exchange, from, polls - 1), POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
      return;
    }
    List<String> found = records.subList(Math.min(from, records.size()), records.size());
    respond(
        exchange,
        "{\"earliest\":0,\"next\":%d,\"records\":[%s]}"
            .formatted(records.size(), String.join(",", found)));
  }

  private static void respond(HttpExchange exchange, String json) {
    exchange.respond(
        200,
        new LinkedHashMap<>(Map.of("Content-Type", "application/json")),
        json.getBytes(StandardCharsets.UTF_8));
  }
}
