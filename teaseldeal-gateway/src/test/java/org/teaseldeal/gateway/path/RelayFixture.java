package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.HttpCallRequest;

/** One backend server, and the links of instances that list it. */
final class RelayFixture {
  private static final BackendServerId SERVER = new BackendServerId("server-1");
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(10);

  final ManualClock clock = new ManualClock();
  final ServerDirectory servers = new ServerDirectory();

  RelayFixture(String serverAddress) {
    listServer(serverAddress);
  }

  /** Lists the server at an address, in place of the one that it was listed at. */
  void listServer(String serverAddress) {
    servers.remove(SERVER);
    servers.put(
        new ServerListing(
            SERVER,
            "register",
            serverAddress,
            "hall-a",
            "v1",
            6,
            false,
            Optional.of(Instant.EPOCH)));
  }

  BackendServer server() {
    return servers.find(SERVER).orElseThrow();
  }

  /** Creates the links of an instance that other instances relay requests for. */
  ServerLinks newLinks(
      String instance,
      BackendPort direct,
      BackendPort peers,
      List<String> peerAddresses,
      BackendPort probes,
      ServerStatements.Reader statements) {
    ServerLimits limits = ServerLimits.alone(instance, event -> {}, clock, new Random(1));
    return new ServerLinks(
        instance,
        direct,
        peers,
        () -> peerAddresses,
        probes,
        probed ->
            new HttpCallRequest(
                probed.address(), "GET", "/health", Map.of(), new byte[0], PROBE_TIMEOUT),
        servers,
        limits,
        new ServerStatementHandler(
            statements,
            limits,
            new LeaveAnnouncements(instance, servers, note -> {}, event -> {}),
            event -> {}),
        event -> {},
        clock,
        new Random(1));
  }
}
