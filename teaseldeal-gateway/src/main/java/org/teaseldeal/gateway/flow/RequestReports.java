package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import org.teaseldeal.gateway.account.TokenRequests;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.plan.Route;

/** Reports the decisions about one request as events. */
final class RequestReports {
  private final EventSink events;
  private final CallerRequest request;
  private final Route route;
  private final String service;
  private final long planVersion;

  /**
   * Creates the reports of a request.
   *
   * @param planVersion the version of the plan that routed the request
   */
  RequestReports(
      EventSink events, CallerRequest request, Route route, String service, long planVersion) {
    this.events = events;
    this.request = request;
    this.route = route;
    this.service = service;
    this.planVersion = planVersion;
  }

  void waitsForTokens(String customer, long tokens, TokenRequests requests) {
    events.accept(
        new GatewayEvent.WaitsForTokens(
            request.id(), customer, tokens, requests.idle(customer), requests.acceptsClaims()));
  }

  void waitsForRoom(int rank, int waiting, double startsPerSecond) {
    events.accept(
        new GatewayEvent.WaitsForRoom(request.id(), service, rank, waiting, startsPerSecond));
  }

  void failed(Attempt failed, AttemptFailure reason, String detail) {
    boolean mayHaveRun = reason == AttemptFailure.MAY_HAVE_RUN;
    events.accept(
        new GatewayEvent.AttemptFailed(
            request.id(),
            failed.server().id().name(),
            failed.number(),
            reason.name(),
            detail,
            failed.age(),
            failed.silence(),
            failed.eventsReceived(),
            mayHaveRun ? String.join(",", request.sharedPartIds()) : ""));
  }

  /** Reports that an attempt is cancelled because another one has brought the answer forward. */
  void superseded(Attempt cancelled, Attempt delivering) {
    events.accept(
        new GatewayEvent.AttemptSuperseded(
            request.id(),
            cancelled.server().id().name(),
            cancelled.number(),
            delivering.server().id().name(),
            cancelled.age(),
            cancelled.silence()));
  }

  /** Reports an answered request whose answer began late or paused for too long. */
  void answeredLateIfSo(
      CallerAnswer answer,
      Instant arrivedAt,
      Instant endedAt,
      Duration tokenWait,
      Duration placementDelay) {
    Duration toFirst = Duration.between(arrivedAt, answer.firstSentAt().orElse(endedAt));
    boolean paused =
        route.kind().streamed() && answer.longestPause().compareTo(route.pauseAim()) > 0;
    if (paused || toFirst.compareTo(route.aim()) > 0) {
      events.accept(
          new GatewayEvent.AnsweredLate(
              request.id(),
              tokenWait,
              placementDelay,
              toFirst,
              answer.longestPause(),
              route.pauseAim()));
    }
  }

  void ended(
      String customer,
      String outcome,
      int status,
      String detail,
      int attempts,
      long chargedTokens,
      Duration tokenWait,
      Duration took,
      String fingerprint) {
    events.accept(
        new GatewayEvent.RequestEnded(
            request.id(),
            route.name(),
            customer,
            outcome,
            status,
            detail,
            attempts,
            chargedTokens,
            planVersion,
            tokenWait,
            took,
            route.kind().label(),
            route.aim(),
            fingerprint));
  }
}
