package org.teaseldeal.gateway.path;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.path.RelayMessages.Relayed;
import org.teaseldeal.gateway.path.RelayMessages.Result;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.net.HttpListener;
import org.teaseldeal.net.ResponseStream;

/**
 * Passes requests of other instances on to backend servers that these instances can't reach, and
 * the answers back.
 *
 * <p>It only transports: the instance that received the request from its caller chooses the server,
 * keeps the customer's tokens and decides about retries. The relay connects only to servers that
 * its own list contains, in the same incarnation, and never passes a request on to a further
 * instance. Like all calls on the address for other instances, it may be called by any process that
 * reaches that address.
 */
public final class RequestRelay implements HttpHandler {
  /** Matches answers with requests that are known by their headers. */
  @FunctionalInterface
  public interface AnswerMatcher {
    /** Returns the name by which answers identify a request; empty if they don't. */
    default String callName(Map<String, String> requestHeaders) {
      return "";
    }

    /** Returns how an answer relates to the request in whose place it arrived. */
    AnswerMatch match(Map<String, String> requestHeaders, Map<String, String> answerHeaders);
  }

  /** The path of the HTTP call that relays a request. */
  public static final String PATH = "/relayed-requests";

  private static final Logger LOG = LoggerFactory.getLogger(RequestRelay.class);

  /** Limits the share of this instance that requests of other instances take. */
  private static final int MAX_RELAYED_REQUESTS = 256;

  /** An answer is aborted if the other instance reads it so slowly that more than this waits. */
  private static final long MAX_PENDING_BYTES = 1 << 20;

  private static final long MAX_ANSWER_BYTES = 8 << 20;

  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;

  private final ServerLinks links;
  private final ServerDirectory servers;
  private final AnswerMatcher answerMatcher;
  private int openRequests;
  private boolean draining;

  /**
   * Creates the relay of an instance.
   *
   * @param answerMatcher matches the answers of servers with the requests
   */
  public RequestRelay(ServerLinks links, ServerDirectory servers, AnswerMatcher answerMatcher) {
    this.links = links;
    this.servers = servers;
    this.answerMatcher = answerMatcher;
  }

  /** From now on refuses requests; those that were accepted go on. */
  public void drain() {
    draining = true;
  }

  /** The number of relayed requests whose answer has not ended. */
  public int openRequests() {
    return openRequests;
  }

  @Override
  public void handle(HttpExchange exchange) {
    Relayed relayed;
    try {
      relayed = RelayMessages.decode(exchange);
    } catch (IllegalArgumentException e) {
      LOG.warn("refused to relay a request that could not be decoded: {}", e.getMessage());
      respond(exchange, BAD_REQUEST, Result.REFUSED, String.valueOf(e.getMessage()));
      return;
    }
    Optional<BackendServer> server =
        servers
            .find(relayed.server().id())
            .filter(listed -> listed.incarnation().equals(relayed.server()))
            .filter(servers::accepts);
    String refusal = refusal();
    if (!refusal.isEmpty()) {
      respond(exchange, UNAVAILABLE, Result.REFUSED, refusal);
    } else if (server.isEmpty()) {
      respond(
          exchange,
          UNAVAILABLE,
          Result.NOT_LISTED,
          "the server is not listed here as ready, or is evacuated");
    } else if (links.isLost(server.orElseThrow())) {
      respond(exchange, UNAVAILABLE, Result.UNREACHABLE, "the server can't be reached from here");
    } else if (!links.limits().hasRoom(server.orElseThrow())) {
      respondNoRoom(exchange, links.limits().noRoomFor(server.orElseThrow()));
    } else {
      new RelayedRequest(exchange, relayed).send(server.orElseThrow());
    }
  }

  /** Why a request is not relayed; empty if it is. */
  private String refusal() {
    if (draining) {
      return "the instance stops";
    }
    if (links.areAllLost()) {
      return "no server can be reached from here";
    }
    return openRequests >= MAX_RELAYED_REQUESTS ? openRequests + " requests are relayed" : "";
  }

  private static void respondNoRoom(HttpExchange exchange, Duration noRoomFor) {
    exchange.respond(
        UNAVAILABLE,
        RelayMessages.noRoomHeaders(exchange, noRoomFor),
        "the server takes no more requests".getBytes(StandardCharsets.UTF_8));
  }

  private static void respond(HttpExchange exchange, int status, Result result, String detail) {
    exchange.respond(
        status,
        RelayMessages.resultHeaders(exchange, result),
        detail.getBytes(StandardCharsets.UTF_8));
  }

  /** One request, from its arrival to the end of its answer. */
  private final class RelayedRequest implements HttpListener {
    private final HttpExchange exchange;
    private final Relayed relayed;
    private AnswerEnd announcedEnd = AnswerEnd.CONNECTION_CLOSED;
    private @Nullable HttpCall call;
    private @Nullable ResponseStream stream;
    private long relayedBytes;
    private boolean ended;

    RelayedRequest(HttpExchange exchange, Relayed relayed) {
      this.exchange = exchange;
      this.relayed = relayed;
    }

    void send(BackendServer server) {
      openRequests++;
      exchange.onCallerDisconnect(this::cancel);
      HttpCallRequest request =
          new HttpCallRequest(
              server.address(),
              relayed.method(),
              relayed.target(),
              relayed.headers(),
              exchange.body(),
              relayed.timeout());
      HttpCall sent = links.sendDirectly(server, request, this);
      if (!ended) {
        call = sent;
      }
    }

    @Override
    public String callName() {
      return answerMatcher.callName(relayed.headers());
    }

    @Override
    public AnswerMatch match(int status, Map<String, String> headers) {
      return answerMatcher.match(relayed.headers(), headers);
    }

    @Override
    public void onEndAnnounced(AnswerEnd end) {
      announcedEnd = end;
    }

    @Override
    public void onHead(int status, Map<String, String> headers) {
      if (ended) {
        return;
      }
      Map<String, String> passed = RelayMessages.answerHeaders(exchange, headers, announcedEnd);
      if (announcedEnd == AnswerEnd.NO_BODY) {
        end();
        exchange.respond(status, passed, new byte[0]);
      } else {
        stream = exchange.startStream(status, passed);
      }
    }

    @Override
    public void onBodyPart(byte[] part) {
      ResponseStream open = stream;
      if (ended || open == null) {
        return;
      }
      open.write(part);
      relayedBytes += part.length;
      if (open.pendingBytes() > MAX_PENDING_BYTES) {
        LOG.warn("aborted a relayed answer, as instance {} reads too slowly", relayed.sender());
        open.abort();
        cancel();
      } else if (relayedBytes > MAX_ANSWER_BYTES) {
        LOG.warn("aborted a relayed answer of more than {} bytes", MAX_ANSWER_BYTES);
        open.abort();
        cancel();
      }
    }

    @Override
    public void onEnd(AnswerEnd end) {
      ResponseStream open = stream;
      if (!ended && open != null) {
        end();
        open.finish();
      }
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      if (ended) {
        return;
      }
      end();
      ResponseStream open = stream;
      if (open != null) {
        open.abort();
      } else {
        Result result = failure == HttpFailure.NOT_SENT ? Result.UNREACHABLE : Result.NO_ANSWER;
        respond(exchange, UNAVAILABLE, result, detail);
      }
    }

    private void cancel() {
      if (ended) {
        return;
      }
      end();
      if (call != null) {
        call.cancel();
      }
    }

    private void end() {
      ended = true;
      openRequests--;
    }
  }
}
