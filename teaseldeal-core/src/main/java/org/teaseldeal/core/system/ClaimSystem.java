package org.teaseldeal.core.system;

import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.core.Counter;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.part.ClaimConfirmation;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.Stage;
import org.teaseldeal.ledger.ClaimKey;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.ClaimView;
import org.teaseldeal.ledger.state.LedgerState;

/**
 * Runs a non-idempotent request only after reading back from the log that this instance won its
 * claim.
 *
 * <p>Two instances can receive the same request at once. Only the order of the log decides which of
 * them holds the claim. The answer to the append doesn't, because it can be lost after the write
 * took effect.
 */
final class ClaimSystem {
  private final Context context;
  private final LedgerSystem ledger;
  private final RequestCompletion completion;
  private final PlacementSystem placement;
  private final ClaimConfirmation confirmation;

  ClaimSystem(
      Context context,
      LedgerSystem ledger,
      RequestCompletion completion,
      PlacementSystem placement,
      ClaimConfirmation confirmation) {
    this.context = context;
    this.ledger = ledger;
    this.completion = completion;
    this.placement = placement;
    this.confirmation = confirmation;
  }

  /**
   * Ends a request whose claim is already in the ledger, or that can't be claimed now, and returns
   * whether it did.
   *
   * <p>A repeated request is answered like the first one, before any other check can refuse it as
   * not run.
   */
  boolean answerFromLedger(RequestRow request) {
    ClaimKey key = request.claimKey;
    if (key == null) {
      return false;
    }
    LedgerState state = ledger.state(request.service.id().team());
    Optional<ClaimView> known = state.claim(key);
    if (known.isPresent()) {
      ClaimView claim = known.get();
      boolean sameBody = claim.bodyDigest().equals(request.fingerprint);
      onClaimLost(request, new Outcome.ClaimLost(key, claim.holder(), sameBody, claim.answer()));
      return true;
    }
    if (state.claimExpired(key)) {
      refuse(request, new Outcome.ClaimExpired(key));
      return true;
    }
    if (!ledger.reachable(request.service.id().team())) {
      refuseLogUnavailable(request);
      return true;
    }
    return false;
  }

  /** Claims a request whose tokens are reserved, or queues it if it needs no claim. */
  void claimOrEnqueue(RequestRow request) {
    ClaimKey key = request.claimKey;
    if (key == null || request.claimHeld) {
      placement.enqueue(request);
      return;
    }
    TeamId team = request.service.id().team();
    if (!ledger.reachable(team)) {
      refuseLogUnavailable(request);
      return;
    }
    request.stage = Stage.WAITING_FOR_CLAIM;
    context.count(Counter.CLAIMS);
    Entry.Claim claim =
        new Entry.Claim(key, request.service.id(), request.customer.id(), request.fingerprint);
    confirmation.claim(
        claim,
        (entry, then) -> ledger.submitUrgent(team, entry, then),
        outcome -> onOutcome(request, key, outcome));
  }

  /** Refuses the requests whose claims can't be read back because the log is unreachable. */
  void run() {
    if (ledger.allReachable()) {
      return;
    }
    List<RequestRow> unconfirmable =
        context.tables.requestsByDeadline.stream()
            .filter(r -> r.stage == Stage.WAITING_FOR_CLAIM)
            .filter(r -> !ledger.reachable(r.service.id().team()))
            .toList();
    unconfirmable.forEach(this::refuseLogUnavailable);
  }

  private void refuseLogUnavailable(RequestRow request) {
    completion.fail(
        request,
        ErrorKind.LOG_UNAVAILABLE,
        "the claim of this request cannot be confirmed",
        context.limits().retryAfter());
  }

  private void onOutcome(RequestRow request, ClaimKey key, Outcome outcome) {
    boolean waiting = request.stage == Stage.WAITING_FOR_CLAIM;
    if (outcome instanceof Outcome.ClaimWon) {
      if (waiting) {
        request.claimHeld = true;
        placement.enqueue(request);
        return;
      }
      // The caller was told "not run" before the claim was read back. If the claim were kept, all
      // later tries of the caller would be refused as already claimed, although nothing ran or will
      // run.
      context.count(Counter.CLAIMS_RELEASED);
      ledger.submit(request.service.id().team(), new Entry.ReleaseClaim(key));
      return;
    }
    if (waiting) {
      refuse(request, outcome);
    }
  }

  private void refuse(RequestRow request, Outcome outcome) {
    switch (outcome) {
      case Outcome.ClaimLost lost -> onClaimLost(request, lost);
      case Outcome.ClaimExpired expired ->
          completion.fail(
              request, ErrorKind.KEY_EXPIRED, "the key was used before, too long ago to tell more");
      default ->
          completion.fail(
              request,
              ErrorKind.LOG_UNAVAILABLE,
              "the claim was not taken: " + outcome,
              context.limits().retryAfter());
    }
  }

  private void onClaimLost(RequestRow request, Outcome.ClaimLost lost) {
    if (!lost.sameBody()) {
      completion.fail(request, ErrorKind.KEY_REUSED, "the key came before with another body");
      return;
    }
    Optional<Entry.ClaimOutcome> answer = lost.answer();
    if (answer.isPresent()) {
      replayAnswer(request, answer.get());
      return;
    }
    if (holderEnded(request, lost.holder())) {
      completion.fail(
          request, ErrorKind.OUTCOME_UNKNOWN, "the instance that ran it ended without an outcome");
      return;
    }
    completion.fail(
        request,
        ErrorKind.ALREADY_CLAIMED,
        "instance run %s has it".formatted(lost.holder()),
        context.limits().retryAfter());
  }

  private boolean holderEnded(RequestRow request, IncarnationId holder) {
    return ledger.hasEnded(request.service.id().team(), holder);
  }

  private void replayAnswer(RequestRow request, Entry.ClaimOutcome answer) {
    if (answer.contentType().equals(StoredAnswer.UNKNOWN_CONTENT_TYPE)) {
      completion.fail(request, ErrorKind.OUTCOME_UNKNOWN, "it may have run; its answer was lost");
      return;
    }
    if (!answer.bodyKept()) {
      completion.fail(
          request, ErrorKind.OUTCOME_UNKNOWN, "it ran; its answer was too long to keep");
      return;
    }
    if (request.isModel()) {
      Optional<StoredAnswer.Frames> stored = StoredAnswer.decode(answer.body());
      if (stored.isEmpty()) {
        completion.fail(request, ErrorKind.OUTCOME_UNKNOWN, "it ran; its answer can't be read");
        return;
      }
      replayFrames(request, stored.get());
    } else {
      request.answerStatus = answer.status();
      request.answerContentType = answer.contentType();
      request.answerBody = answer.body();
    }
    completion.answer(request);
  }

  private void replayFrames(RequestRow request, StoredAnswer.Frames stored) {
    request.usage = stored.usage();
    request.frames.addAll(stored.frames());
    if (request.streams()) {
      for (byte[] frame : stored.frames()) {
        context.emit(new InstanceCommand.SendFrame(request.call, request.id, frame));
      }
    }
  }

  /** Stores the complete answer with the claim. */
  void storeAnswer(RequestRow request) {
    ClaimKey key = request.claimKey;
    if (key == null || !request.claimHeld) {
      return;
    }
    request.claimHeld = false;
    int max = context.limits().maxStoredAnswerBytes();
    Entry.ClaimOutcome outcome =
        request.usage != null && request.isModel()
            ? StoredAnswer.frames(key, request, request.usage, max)
            : StoredAnswer.plain(
                key, request.answerStatus, request.answerContentType, request.answerBody, max);
    ledger.submit(request.service.id().team(), outcome);
  }
}
