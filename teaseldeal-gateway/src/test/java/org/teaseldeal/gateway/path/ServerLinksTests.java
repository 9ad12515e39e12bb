package org.teaseldeal.gateway.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.path.RelayMessages.Result;
import org.teaseldeal.gateway.path.ServerLinks.Way;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.RateAnnouncement;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** Tests of requests to servers that this instance can't reach by itself. */
class ServerLinksTests {
  private static final HttpCallRequest REQUEST =
      new HttpCallRequest(
          "10.0.0.1:80", "POST", "/bid/1", Map.of(), new byte[0], Duration.ofSeconds(1));

  private record Sent(HttpCallRequest request, HttpListener listener) {}

  private final ManualClock clock = new ManualClock();
  private final ServerDirectory servers = new ServerDirectory();
  private final List<Sent> direct = new ArrayList<>();
  private final List<Sent> relayed = new ArrayList<>();
  private final List<Sent> probes = new ArrayList<>();
  private final List<String> peers = new ArrayList<>(List.of("peer-1:1", "peer-2:1"));
  private final List<String> down = new ArrayList<>();
  private final List<String> outcomes = new ArrayList<>();

  /** What the next answer says about its server. */
  private ServerStatements statements = ServerStatements.NONE;

  private final ServerLimits limits =
      ServerLimits.alone("instance-1", event -> {}, clock, new Random(1));
  private final ServerLinks links =
      new ServerLinks(
          "instance-1",
          recordIn(direct),
          recordIn(relayed),
          () -> peers,
          recordIn(probes),
          server ->
              new HttpCallRequest(
                  server.address(), "GET", "/health", Map.of(), new byte[0], REQUEST.timeout()),
          servers,
          limits,
          new ServerStatementHandler(
              (server, status, headers) -> statements,
              limits,
              new LeaveAnnouncements("instance-1", servers, note -> {}, event -> {}),
              event -> {}),
          event -> {},
          clock,
          new Random(1));

  private static BackendPort recordIn(List<Sent> list) {
    return (request, listener) -> {
      list.add(new Sent(request, listener));
      return () -> {};
    };
  }

  @BeforeEach
  void listServers() {
    for (int i = 0; i < 4; i++) {
      servers.put(
          new ServerListing(
              new BackendServerId("server-" + i),
              "register",
              "10.0.0." + i + ":80",
              "hall-a",
              "v1",
              6,
              false,
              Optional.of(Instant.EPOCH)));
    }
    links.setListener(
        new ServerLinks.Listener() {
          @Override
          public void onPathLost(BackendServer server) {}

          @Override
          public void onUnreachable(BackendServer server) {
            down.add(server.id().name());
          }
        });
    links.tick();
  }

  private BackendServer server(int number) {
    return servers.find(new BackendServerId("server-" + number)).orElseThrow();
  }

  private HttpCall sendThroughRelay() {
    return links.sendThroughRelay(
        server(0),
        REQUEST,
        new HttpListener() {
          @Override
          public void onHead(int status, Map<String, String> headers) {
            outcomes.add("head " + status + " " + headers);
          }

          @Override
          public void onBodyPart(byte[] part) {
            outcomes.add(new String(part, StandardCharsets.UTF_8));
          }

          @Override
          public void onEnd(AnswerEnd end) {
            outcomes.add("end " + end);
          }

          @Override
          public void onFailure(HttpFailure failure, String detail) {
            outcomes.add(failure.name());
          }
        });
  }

  private void loseAllPaths() {
    for (int i = 0; i < 4; i++) {
      links.sendDirectly(server(i), REQUEST, new IgnoringListener());
      direct.getLast().listener().onFailure(HttpFailure.NOT_SENT, "refused");
    }
  }

  private static void answer(Sent call, Result result) {
    call.listener().onHead(503, Map.of(RelayMessages.RESULT, result.name()));
    call.listener().onEnd(AnswerEnd.LENGTH);
  }

  @Test
  void relaysOnceThePathIsLost() {
    assertEquals(Way.DIRECT, links.way(server(0), false));
    loseAllPaths();
    assertEquals(Way.RELAY, links.way(server(0), false));
  }

  /** Without a way left, callers must not wait for connections that can't be opened. */
  @Test
  void findsNoWayIfNoInstanceRelays() {
    peers.clear();
    loseAllPaths();
    assertEquals(Way.NONE, links.way(server(0), false));
  }

  @Test
  void passesOnTheServersAnswerAndItsEnd() {
    sendThroughRelay();
    relayed
        .getFirst()
        .listener()
        .onHead(
            200,
            RelayMessages.answerHeaders(
                new FakeExchange(""), Map.of("a", "b"), AnswerEnd.CONNECTION_CLOSED));
    relayed.getFirst().listener().onBodyPart("part".getBytes(StandardCharsets.UTF_8));
    relayed.getFirst().listener().onEnd(AnswerEnd.LAST_CHUNK);
    assertEquals(List.of("head 200 {a=b}", "part", "end CONNECTION_CLOSED"), outcomes);
  }

  /** An instance that stops, or an earlier release, refuses; the request was not sent. */
  @Test
  void offersARefusedRequestToTheNextInstance() {
    sendThroughRelay();
    answer(relayed.get(0), Result.REFUSED);
    assertEquals(2, relayed.size());
    relayed.get(1).listener().onHead(404, Map.of());
    relayed.get(1).listener().onEnd(AnswerEnd.LENGTH);
    assertEquals(List.of("NOT_SENT"), outcomes);
  }

  /** A request that a relay may have passed on must not be offered to another one. */
  @Test
  void doesNotOfferARequestAgainThatMayHaveBeenSent() {
    sendThroughRelay();
    relayed.getFirst().listener().onFailure(HttpFailure.NO_ANSWER, "reset");
    assertEquals(1, relayed.size());
    assertEquals(List.of("NO_ANSWER"), outcomes);
  }

  @Test
  void doesNotOfferACancelledRequestAgain() {
    HttpCall call = sendThroughRelay();
    call.cancel();
    answer(relayed.getFirst(), Result.REFUSED);
    assertEquals(1, relayed.size());
    assertEquals(List.of(), outcomes);
  }

  /** One instance alone may have lost its own path; its report must not count a request's crash. */
  @Test
  void holdsAServerForDownOnlyIfTwoInstancesReportIt() {
    sendThroughRelay();
    answer(relayed.get(0), Result.UNREACHABLE);
    assertEquals(List.of(), down);
    answer(relayed.get(1), Result.UNREACHABLE);
    assertEquals(List.of("server-0"), down);
    assertEquals(List.of("NOT_SENT"), outcomes);
  }

  /** A probe through another instance finds out whether the server or the path is down. */
  @Test
  void probesALostServerDirectlyAndThroughAnotherInstance() {
    loseAllPaths();
    links.tick();
    assertEquals(4, probes.size());
    assertEquals(4, relayed.size());
    probes.forEach(probe -> probe.listener().onHead(200, Map.of()));
    assertEquals(Way.DIRECT, links.way(server(0), false));
  }

  private static final class IgnoringListener implements HttpListener {
    @Override
    public void onHead(int status, Map<String, String> headers) {}

    @Override
    public void onBodyPart(byte[] part) {}

    @Override
    public void onEnd(AnswerEnd end) {}

    @Override
    public void onFailure(HttpFailure failure, String detail) {}
  }

  private long probesOf(BackendServer server) {
    return probes.stream()
        .filter(probe -> probe.request().address().equals(server.address()))
        .count();
  }

  private static ServerStatements saying(boolean leaving, Optional<Duration> pause) {
    return new ServerStatements(
        true, new RateAnnouncement.Absent(), OptionalInt.empty(), leaving, pause, List.of());
  }

  private void answerRelayed() {
    relayed.getLast().listener().onHead(200, Map.of(RelayMessages.RESULT, Result.ANSWER.name()));
  }

  /** Guards against a leave that is missed as another instance passed the answer on. */
  @Test
  void takesALeaveFromAnAnswerThatAnotherInstanceRelayed() {
    sendThroughRelay();
    statements = saying(true, Optional.empty());
    answerRelayed();
    assertFalse(server(0).isListedAsReady());
  }

  /** Guards against requests that reach a server by another instance during a pause. */
  @Test
  void sendsNothingByOtherInstancesToAServerInItsPause() {
    sendThroughRelay();
    statements = saying(false, Optional.of(Duration.ofSeconds(3)));
    answerRelayed();
    assertEquals(Way.NONE, links.way(server(0), false));
    clock.advance(Duration.ofSeconds(3));
    assertEquals(Way.DIRECT, links.way(server(0), false));
  }

  /** Guards against probes that disturb a server in its pause. */
  @Test
  void postponesProbesOfAServerToTheEndOfItsPause() {
    sendThroughRelay();
    statements = saying(false, Optional.of(Duration.ofSeconds(3)));
    answerRelayed();
    links.onSilent(server(0), Duration.ofSeconds(5));
    clock.advance(Duration.ofSeconds(1));
    links.onSilent(server(0), Duration.ofSeconds(6));
    links.tick();
    assertEquals(0, probesOf(server(0)));
    clock.advance(Duration.ofSeconds(2));
    links.tick();
    assertEquals(1, probesOf(server(0)));
  }
}
