package org.teaseldeal.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.standin.registration.Registration;
import org.teaseldeal.standin.runtime.EventLoop;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.settings.RegistrationSettings;
import org.teaseldeal.standin.settings.SettingsException;

/**
 * A running stand-in with its network listeners, its registration with the platform and its orderly
 * shutdown.
 *
 * <p>On SIGTERM the stand-in is listed as leaving. It keeps serving until the lagged list shows
 * this to all clients and its requests in flight have completed, and then exits with status 0.
 */
final class StandinProcess {
  private static final Logger LOGGER = LoggerFactory.getLogger(StandinProcess.class);
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

  /** Time before the exit in which the sockets can send the last answers. */
  private static final Duration FLUSH_TIME = Duration.ofMillis(200);

  private static final long ANSWER_TIMEOUT_SECONDS = 2;

  private final EventLoop eventLoop;
  private final StandinComponents components;
  private final HttpServer server;
  private final HttpServer admin;
  private final Optional<Registration> registration;

  private StandinProcess(EventLoop eventLoop, StandinComponents components) throws IOException {
    this.eventLoop = eventLoop;
    this.components = components;
    server = listen(components.listen().port(), components.handler());
    admin = listen(components.listen().adminPort(), components.adminHandler());
    registration =
        components
            .registration()
            .filter(settings -> settings.platform().isPresent())
            .map(this::createRegistration);
  }

  /** Starts the stand-in and prints its addresses as one JSON line. */
  static StandinProcess start(StandinCommand command, PrintStream out)
      throws SettingsException, IOException {
    EventLoop eventLoop = new EventLoop("standin");
    try {
      StandinProcess process =
          new StandinProcess(eventLoop, command.components(InstantSource.system(), eventLoop));
      process.announce(out);
      return process;
    } catch (SettingsException | IOException | RuntimeException e) {
      eventLoop.close();
      throw e;
    }
  }

  String address() {
    return hostAndPort(server.address());
  }

  String adminAddress() {
    return hostAndPort(admin.address());
  }

  private void announce(PrintStream out) {
    registration.ifPresent(registered -> eventLoop.execute(registered::start));
    Runtime.getRuntime().addShutdownHook(new Thread(this::leaveAndExit, "leave"));
    out.println(
        Json.object()
            .put("event", "listening")
            .put("role", components.role())
            .put("address", address())
            .put("admin_address", adminAddress()));
    out.flush();
  }

  private HttpServer listen(int port, HttpHandler handler) throws IOException {
    return HttpServer.start(
        HttpServerConfig.defaults(components.listen().host(), port),
        exchange -> eventLoop.execute(() -> handler.handle(exchange)));
  }

  private Registration createRegistration(RegistrationSettings settings) {
    String id = settings.id().orElse(components.role() + "-" + server.address().getPort());
    String run = UUID.randomUUID().toString().substring(0, 8).toLowerCase(Locale.ROOT);
    return new Registration(
        new HttpClient(HttpClientConfig.defaults()),
        eventLoop,
        settings,
        id,
        id + "-" + run,
        components.role(),
        address());
  }

  // Exiting with status 0 takes halt(): after SIGTERM the virtual machine itself exits with 143.
  private void leaveAndExit() {
    try {
      if (registration.isPresent()) {
        drainAndDeregister(registration.get(), components.registration().orElseThrow());
      }
      server.stopAccepting();
      Thread.sleep(FLUSH_TIME);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      LOGGER.warn("Orderly shutdown was cut short, exiting now: {}", e.toString());
    } finally {
      Runtime.getRuntime().halt(ExitStatus.OK.code());
    }
  }

  private void drainAndDeregister(Registration registered, RegistrationSettings settings)
      throws InterruptedException, ExecutionException, TimeoutException {
    eventLoop.execute(registered::markAsLeaving);
    Thread.sleep(settings.leaveTime());
    long end = System.nanoTime() + settings.drainLimit().toNanos();
    while (inFlight() > 0 && System.nanoTime() < end) {
      Thread.sleep(DRAIN_POLL_INTERVAL);
    }
    CompletableFuture.supplyAsync(registered::remove, eventLoop)
        .thenCompose(removal -> removal)
        .get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private int inFlight() throws InterruptedException, ExecutionException, TimeoutException {
    return CompletableFuture.supplyAsync(() -> components.inFlight().getAsInt(), eventLoop)
        .get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
