package org.teaseldeal.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.account.ClockReading;
import org.teaseldeal.gateway.account.HeartbeatCount;
import org.teaseldeal.gateway.account.HolderPort;
import org.teaseldeal.gateway.account.PrepaidAccounts;
import org.teaseldeal.gateway.account.TokenHolders;
import org.teaseldeal.gateway.fake.CuttingProxy;
import org.teaseldeal.gateway.fake.CuttingProxy.Cut;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.stream.StreamKey;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;

/** Tests of other instances' answers that are cut at each byte. */
@Timeout(60)
class CutPeerAnswerTests {
  private static final String PEER = "instance-2";
  private static final String CUSTOMER = "trawler";
  private static final long TOKENS = 100;
  private static final String NO_ANSWER = "no answer";
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** What another instance answers, and what that means. */
  private enum PeerAnswer {
    GRANTED(200, HolderMessages.encodeGranted(), "Granted[]"),
    REFUSED(
        200,
        HolderMessages.encodeRefused(
            new Problem(
                ErrorKind.BUDGET_EXHAUSTED,
                "none",
                Optional.empty(),
                ErrorKind.BUDGET_EXHAUSTED.runStatus())),
        "Refused"),
    DRAWN(200, "42".getBytes(StandardCharsets.US_ASCII), "OptionalLong[42]"),
    KNOWN_ORIGIN(200, "v17".getBytes(StandardCharsets.US_ASCII), "Known[version=v17]"),
    UNKNOWN_ORIGIN(404, new byte[0], "Unknown[]"),
    CACHED_PROMPTS(200, emptyExchange().cachedPrompts(), "true");

    private final int status;
    private final byte[] body;
    private final String meaning;

    PeerAnswer(int status, byte[] body, String meaning) {
      this.status = status;
      this.body = body;
      this.meaning = meaning;
    }
  }

  private final ManualClock clock = new ManualClock();
  private final PrepaidAccounts accounts =
      new PrepaidAccounts(
          "instance-1",
          customer -> OptionalLong.empty(),
          new TokenHolders("instance-1", () -> Set.of("instance-1")),
          event -> {},
          clock,
          new ClockReading(0, 0),
          () -> new ClockReading(0, 0),
          () -> Optional.of(new HeartbeatCount(0, 1)));
  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private volatile PeerAnswer peerAnswer = PeerAnswer.GRANTED;
  private HttpServer peer;
  private CuttingProxy link;

  @BeforeEach
  void start() throws IOException {
    peer = HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), this::answer);
    link = new CuttingProxy(peer.address());
  }

  private void answer(HttpExchange exchange) {
    exchange.respond(peerAnswer.status, Map.of(), peerAnswer.body);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    link.close();
    peer.close();
  }

  /**
   * Guards against a cut answer of another instance counting as granted or drawn tokens, as the
   * origin of a stream, or as the answer that there is none.
   */
  @ParameterizedTest
  @EnumSource
  void meanNothing(PeerAnswer answer) throws Exception {
    peerAnswer = answer;
    assertEquals(answer.meaning, ask(answer, Cut.NONE));
    long wholeBytes = link.answerBytes();
    for (long bytes = 0; bytes < wholeBytes; bytes++) {
      assertEquals(NO_ANSWER, ask(answer, new Cut(bytes, false)), bytes + " bytes");
      assertEquals(NO_ANSWER, ask(answer, new Cut(bytes, true)), bytes + " bytes and a reset");
    }
  }

  /** Asks the other instance on a new connection, and returns what its answer meant. */
  private String ask(PeerAnswer answer, Cut cut) throws Exception {
    client.closeIdle(link.address());
    link.setCut(cut);
    LinkedBlockingQueue<String> meanings = new LinkedBlockingQueue<>();
    switch (answer) {
      case GRANTED, REFUSED ->
          new HolderCalls(this::address, this::call, accounts, clock)
              .request(
                  PEER,
                  new HolderPort.Request(CUSTOMER, TOKENS, Duration.ZERO, TIMEOUT, 0),
                  given -> meanings.add(meaning(given)));
      case DRAWN ->
          new TokenDrawCalls(this::address, this::call, accounts)
              .draw(
                  PEER,
                  CUSTOMER,
                  TOKENS,
                  given -> meanings.add(given.isPresent() ? given.toString() : NO_ANSWER));
      case KNOWN_ORIGIN, UNKNOWN_ORIGIN ->
          new StreamOriginCalls(this::address, this::call, (to, message) -> {})
              .ask(PEER, new StreamKey(7), given -> meanings.add(meaning(given)));
      case CACHED_PROMPTS -> {
        CachedPromptsCalls calls =
            new CachedPromptsCalls(
                emptyExchange(), () -> List.of(link.address()), this::call, clock, 0);
        calls.tick(true);
        meanings.add(calls.finished() ? "true" : NO_ANSWER);
      }
    }
    return meanings.take();
  }

  private static String meaning(HolderPort.Answer answer) {
    return switch (answer) {
      case HolderPort.Answer.Granted granted -> granted.toString();
      case HolderPort.Answer.Refused refused -> "Refused";
      case HolderPort.Answer.UnknownCustomer unknown -> "UnknownCustomer";
      case HolderPort.Answer.Unreachable unreachable -> NO_ANSWER;
    };
  }

  private static String meaning(StreamOriginCalls.Answer answer) {
    return answer instanceof StreamOriginCalls.Answer.Unreachable ? NO_ANSWER : answer.toString();
  }

  private static LoadExchange emptyExchange() {
    return new LoadExchange(
        "instance-1",
        new ServerDirectory(),
        new CachedPrompts(),
        () -> Set.of("instance-1"),
        name -> Optional.empty(),
        (to, message) -> {},
        () -> Instant.EPOCH);
  }

  private Optional<String> address(String instance) {
    return Optional.of(link.address());
  }

  /** Completes a call before it returns, however long that takes. */
  private CompletableFuture<HttpAnswer> call(HttpCallRequest request) {
    try {
      return CompletableFuture.completedFuture(client.fetch(request.withTimeout(TIMEOUT)).get());
    } catch (ExecutionException e) {
      return CompletableFuture.failedFuture(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return CompletableFuture.failedFuture(e);
    }
  }
}
