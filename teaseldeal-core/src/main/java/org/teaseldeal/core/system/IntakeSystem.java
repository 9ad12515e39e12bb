package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Result;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.event.InstanceEvent.CallerRequest;
import org.teaseldeal.core.part.ReservationRule;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.settings.CustomerSettings;
import org.teaseldeal.settings.ServiceKind;
import org.teaseldeal.settings.ServiceSettings;
import org.teaseldeal.settings.TeamSettings;

/** Checks a caller's request against the settings, and either creates its row or refuses it. */
final class IntakeSystem {
  private static final int MAX_KEY_CHARS = 255;

  private final Context context;
  private final LedgerSystem ledger;
  private final SettingsView settings;
  private final QuarantineSystem quarantine;
  private final RequestCompletion completion;
  private final ClaimSystem claims;
  private final BudgetSystem budgets;
  private final ReservationRule reservationRule;

  IntakeSystem(
      Context context,
      LedgerSystem ledger,
      SettingsView settings,
      QuarantineSystem quarantine,
      RequestCompletion completion,
      ClaimSystem claims,
      BudgetSystem budgets,
      ReservationRule reservationRule) {
    this.context = context;
    this.ledger = ledger;
    this.settings = settings;
    this.quarantine = quarantine;
    this.completion = completion;
    this.claims = claims;
    this.budgets = budgets;
    this.reservationRule = reservationRule;
  }

  void onRequest(CallerRequest event) {
    context.count(Counter.CALLS);
    RequestId generatedId = new RequestId(context.self() + "-" + context.nextRequest());
    switch (admit(event, generatedId)) {
      case Result.Err<RequestRow>(Problem problem) ->
          completion.refuse(
              event.call(),
              generatedId,
              event.idempotencyKey().isPresent() ? problem.forKeyedRequest() : problem);
      case Result.Ok<RequestRow>(RequestRow request) -> {
        context.tables.requests.put(request.call, request);
        context.tables.requestsByDeadline.add(request);
        if (!claims.answerFromLedger(request)) {
          budgets.reserveOrWait(request);
        }
      }
    }
  }

  private Result<RequestRow> admit(CallerRequest event, RequestId generatedId) {
    if (context.draining) {
      return retryable(
          ErrorKind.DRAINING, "instance " + context.config.instance() + " is draining");
    }
    if (!ledger.ready()) {
      return retryable(ErrorKind.NOT_READY, ledger.readiness());
    }
    List<CustomerSettings> customers = event.token().map(settings::customersOf).orElse(List.of());
    if (customers.isEmpty()) {
      return refused(
          ErrorKind.UNAUTHENTICATED,
          event.token().isEmpty() ? "no bearer token was given" : "the bearer token is unknown");
    }
    for (CustomerSettings customer : customers) {
      if (service(event.service(), customer) instanceof Result.Ok<ServiceSettings>(var service)) {
        return admit(event, generatedId, customer, service);
      }
    }
    return switch (service(event.service(), customers.getFirst())) {
      case Result.Err<ServiceSettings>(Problem problem) -> Result.err(problem);
      case Result.Ok<ServiceSettings>(ServiceSettings service) ->
          throw new IllegalStateException(
              "service %s was refused for the same customer before".formatted(service.id()));
    };
  }

  private Result<ServiceSettings> service(String name, CustomerSettings customer) {
    TeamId team = customer.id().team();
    ServiceId id;
    try {
      id = name.indexOf('/') < 0 ? new ServiceId(team, name) : ServiceId.parse(name);
    } catch (IllegalArgumentException e) {
      return refused(ErrorKind.UNKNOWN_SERVICE, "service was '%s'".formatted(name));
    }
    // A caller must not learn whether another team has a service of this name.
    if (!id.team().equals(team)) {
      return refused(
          ErrorKind.FORBIDDEN, "the token is of team %s, not %s".formatted(team, id.team()));
    }
    Optional<TeamSettings> settingsOfTeam = settings.team(team);
    @Nullable ServiceSettings service =
        settingsOfTeam.map(t -> t.services().get(id.name())).orElse(null);
    if (service == null) {
      return refused(ErrorKind.UNKNOWN_SERVICE, "team %s has no service %s".formatted(team, id));
    }
    if (!customer.mayCall(id.name())) {
      return refused(
          ErrorKind.FORBIDDEN, "customer %s may not call %s".formatted(customer.id(), id));
    }
    return Result.ok(service);
  }

  private Result<RequestRow> admit(
      CallerRequest event,
      RequestId generatedId,
      CustomerSettings customer,
      ServiceSettings service) {
    Optional<Problem> invalid =
        payloadProblem(event.payload(), service).or(() -> keyProblem(event, service));
    if (invalid.isPresent()) {
      return Result.err(invalid.get());
    }
    String bodyDigest = bodyDigest(event.payload());
    String fingerprint = Digests.of(service.id().toString(), bodyDigest);
    if (quarantine.isQuarantined(fingerprint)) {
      return refused(
          ErrorKind.QUARANTINED, "it was in flight on several backend servers as they failed");
    }
    return Result.ok(newRequestRow(event, generatedId, customer, service, fingerprint));
  }

  private RequestRow newRequestRow(
      CallerRequest event,
      RequestId generatedId,
      CustomerSettings customer,
      ServiceSettings service,
      String fingerprint) {
    Optional<String> key = event.idempotencyKey();
    String[] scope = {service.id().toString(), customer.id().toString(), key.orElse("")};
    @Nullable ClaimKey claimKey = null;
    if (!service.idempotent()) {
      claimKey = new ClaimKey(Digests.of(scope));
    }
    // The id includes the digest of the body, so that a request with the same key but another body
    // can't attach to the answer of this one.
    RequestId id =
        key.isEmpty()
            ? generatedId
            : new RequestId("k-" + Digests.of(scope[0], scope[1], scope[2], fingerprint));
    Instant now = context.now();
    Duration timeout =
        event
            .timeout()
            .filter(requested -> requested.compareTo(service.timeout()) < 0)
            .orElse(service.timeout());
    long cap = outputCap(event.payload(), service);
    return new RequestRow(
        event.call(),
        id,
        service,
        customer,
        event.payload(),
        fingerprint,
        key.isPresent(),
        claimKey,
        cap,
        reservationRule.tokens(event.payload(), service, cap),
        now,
        now.plus(timeout));
  }

  private static Optional<Problem> payloadProblem(Payload payload, ServiceSettings service) {
    boolean model = payload instanceof Payload.ModelCall;
    if (model != (service.kind() == ServiceKind.MODEL)) {
      return Optional.of(
          Problem.of(
              ErrorKind.UNKNOWN_SERVICE,
              "%s is not a %s service".formatted(service.id(), model ? "model" : "plain")));
    }
    if (payload instanceof Payload.ModelCall call && call.maxOutputTokens().orElse(1) < 1) {
      return Optional.of(
          Problem.of(
              ErrorKind.MALFORMED_REQUEST,
              "%d output tokens were asked for, expected at least 1"
                  .formatted(call.maxOutputTokens().orElse(1))));
    }
    if (payload instanceof Payload.ModelCall call
        && call.maxOutputTokens().orElse(0) > service.maxOutputTokens()) {
      return Optional.of(
          Problem.of(
              ErrorKind.OUTPUT_TOO_LONG,
              "%d output tokens were asked for, expected at most %d"
                  .formatted(call.maxOutputTokens().orElse(0), service.maxOutputTokens())));
    }
    return Optional.empty();
  }

  private static Optional<Problem> keyProblem(CallerRequest event, ServiceSettings service) {
    Optional<String> key = event.idempotencyKey();
    if (key.isEmpty() && !service.idempotent()) {
      return Optional.of(
          Problem.of(
              ErrorKind.MISSING_KEY,
              "%s is not idempotent, expected an Idempotency-Key".formatted(service.id())));
    }
    if (key.isPresent() && (key.get().isBlank() || key.get().length() > MAX_KEY_CHARS)) {
      return Optional.of(
          Problem.of(
              ErrorKind.MALFORMED_REQUEST,
              "Idempotency-Key had %d characters, expected 1 to %d"
                  .formatted(key.get().length(), MAX_KEY_CHARS)));
    }
    return Optional.empty();
  }

  private static String bodyDigest(Payload payload) {
    String body = Digests.of(payload.body());
    return payload instanceof Payload.PlainCall call
        ? Digests.of(call.method(), call.path(), body)
        : body;
  }

  private static long outputCap(Payload payload, ServiceSettings service) {
    return payload instanceof Payload.ModelCall call
        ? call.maxOutputTokens().orElse(service.maxOutputTokens())
        : 0;
  }

  private static <T> Result<T> refused(ErrorKind kind, String detail) {
    return Result.err(Problem.of(kind, detail));
  }

  private <T> Result<T> retryable(ErrorKind kind, String detail) {
    return Result.err(Problem.retryable(kind, detail, context.limits().retryAfter()));
  }
}
