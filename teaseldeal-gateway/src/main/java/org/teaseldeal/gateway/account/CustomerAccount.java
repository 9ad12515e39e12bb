package org.teaseldeal.gateway.account;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.decisions.PrepaidLease;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * This instance's part of one customer's total, and what others have said of theirs.
 *
 * <p>Spent, lost and held together never exceed what the newest own note says, so what is on the
 * log bounds what is spent. Only a granted wish raises the sum, and only after a note with a lower
 * sum was written does anyone count on it.
 */
final class CustomerAccount {
  /** Followed over about this many periods: a light customer sends a request every few. */
  private static final int DEMAND_PERIODS = 8;

  private final String customer;
  private final Map<String, SharedNote.Account> others = new HashMap<>();
  private final List<WaitingRequest> waiting = new ArrayList<>();

  private long spent;

  /** Held by an earlier process on this machine when it ended. */
  private long lost;

  private long reserved;
  private long idle;
  private long asked;
  private boolean noteDue;

  /** Whether the newest own note says that requests wait here. */
  private boolean wantTold;

  private long demanded;
  private long largest;
  private int periods;
  private double tokensPerSecond;

  CustomerAccount(String customer) {
    this.customer = customer;
  }

  String customer() {
    return customer;
  }

  List<WaitingRequest> waiting() {
    return waiting;
  }

  long spent() {
    return spent;
  }

  long lost() {
    return lost;
  }

  long held() {
    return reserved + idle;
  }

  long idle() {
    return idle;
  }

  long tokensPerSecond() {
    return Math.round(tokensPerSecond);
  }

  /** Whether no wish is under way whose outcome may serve those who wait. */
  boolean wishDecided() {
    return asked == 0;
  }

  void demand(long tokens) {
    demanded += tokens;
    largest = Math.max(tokens, largest);
  }

  /** Called once a second. */
  void followDemand() {
    periods = Math.min(periods + 1, DEMAND_PERIODS);
    tokensPerSecond += (demanded - tokensPerSecond) / periods;
    demanded = 0;
    largest -= largest / DEMAND_PERIODS;
  }

  void forgetOthers() {
    others.clear();
  }

  void hear(SharedNote.Account note) {
    others.put(note.instance(), note);
  }

  /** Takes over from an earlier process on this machine. */
  void takeOver(SharedNote.Account note) {
    spent += note.spent();
    lost += note.lost() + note.held() + note.asked();
    noteDue = true;
  }

  long takenByAll() {
    return takenByOthers() + spent + lost + held();
  }

  private long takenByOthers() {
    return others.values().stream().mapToLong(SharedNote.Account::taken).sum();
  }

  /** Whether the total may cover a request, counting as free what is idle or lost anywhere. */
  boolean mayCover(long tokens, long total) {
    long gone = spent + reserved;
    for (SharedNote.Account note : others.values()) {
      gone += note.spent() + note.held() - note.idle();
    }
    return tokens <= total - gone;
  }

  /** Called when the own note was read back: all that came before it is known. */
  void decideWish(long total) {
    long wish = asked;
    asked = 0;
    if (wish > 0) {
      if (takenByAll() + wish <= total) {
        idle += wish;
      } else {
        noteDue = true;
      }
    }
    serveWaiting(total);
  }

  void serveWaiting(long total) {
    for (WaitingRequest request : List.copyOf(waiting)) {
      if (take(request, total)) {
        waiting.remove(request);
      }
    }
  }

  /** Gives a request its tokens if they are at hand. */
  boolean take(WaitingRequest request, long total) {
    if (request.tokens() > usable(total)) {
      return false;
    }
    idle -= request.tokens();
    reserved += request.tokens();
    request.listener().onReserved(new Reservation(customer, request.tokens()));
    return true;
  }

  /** Idle tokens that may be used; fewer after the total was lowered below what is out. */
  private long usable(long total) {
    return idle - Math.max(0, takenByAll() - total);
  }

  void settle(long tokens, long used) {
    reserved -= tokens;
    spent += used;
    idle += tokens - used;
  }

  /** The note to write now, if one is due. */
  Optional<SharedNote> nextNote(String instance, long total, int instances, boolean refill) {
    long remaining = Math.max(0, total - takenByAll());
    long target =
        new PrepaidLease(total, remaining + idleOfAll(), instances)
            .target(tokensPerSecond, largest);
    long wish = waitingThatFits(remaining);
    boolean urgent = wish > 0;
    boolean low = idle < target / 2 && !othersWant();
    if (low && (urgent || refill)) {
      wish = Math.max(wish, Math.min(target - idle, remaining));
    }
    long surplus = waiting.isEmpty() && othersWant() ? idle - target / 2 : 0;
    boolean returns = refill && surplus > 0;
    boolean lacks = wanted() > 0 != wantTold;
    if (wish <= 0 && !returns && !(refill && (noteDue || lacks))) {
      return Optional.empty();
    }
    if (returns) {
      idle -= surplus;
    }
    noteDue = false;
    asked = Math.max(0, wish);
    wantTold = wanted() > 0;
    return Optional.of(
        new SharedNote.Account(instance, customer, spent, lost, held(), idle, asked, wanted()));
  }

  private long idleOfAll() {
    return idle + others.values().stream().mapToLong(SharedNote.Account::idle).sum();
  }

  /** Whether requests wait at another instance. */
  private boolean othersWant() {
    return others.values().stream().anyMatch(note -> note.wanted() > 0);
  }

  /** What the waiting requests lack. */
  private long wanted() {
    long all = waiting.stream().mapToLong(WaitingRequest::tokens).sum();
    return Math.max(0, all - idle);
  }

  /** What to ask for so that as many as fit can go, the oldest first. */
  private long waitingThatFits(long remaining) {
    long fits = 0;
    for (WaitingRequest request : waiting) {
      if (fits + request.tokens() <= idle + remaining) {
        fits += request.tokens();
      }
    }
    return Math.max(0, fits - idle);
  }
}
