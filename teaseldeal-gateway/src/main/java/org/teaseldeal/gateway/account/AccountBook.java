package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Function;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.decisions.LeaseSizing;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.LogParticipant;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * Divides each customer's prepaid total among the instances, and this instance's part among its
 * requests.
 *
 * <p>Each instance keeps one note for each customer on the shared log: what it has spent, what it
 * may still spend, and what it asks for besides. It alone decides whether its wish is granted, when
 * it reads its own note back: yes if all instances' notes up to there, its wish among them, stay
 * within the total. What others ask for counts as theirs until they write anew, so nobody's yes
 * depends on guessing another's answer, and the sum stays within the total whatever is lost, late,
 * frozen or killed. The newest note of each instance is all that is needed, so a log that keeps
 * only the newest record of a key loses nothing.
 *
 * <p>A process takes over the note of the one before it on the same machine, whose tokens all count
 * as spent: nobody can tell which of them were. Time never frees tokens; a holder that is silent
 * may only be paused.
 */
public final class AccountBook implements LogParticipant {
  /**
   * The outage of the log that an instance's idle tokens should outlast. Longer leases strand more
   * at a kill: 1.5 s of demand of all instances are about 4% of a day's totals.
   */
  private static final Duration HORIZON = Duration.ofMillis(1500);

  /** The part of what remains that one instance may hold idle. */
  private static final double IDLE_SHARE = 0.03;

  /**
   * Below this part of the total, nobody holds idle tokens: each request is granted its own, so
   * that a request is refused only if the total doesn't cover it.
   */
  private static final double SCARCE_SHARE = 0.12;

  /** Between notes that only refill the lease; a request that waits is written at once. */
  private static final Duration REFILL_PAUSE = Duration.ofMillis(100);

  /** How long a request waits for idle tokens of others to come back; they read each second. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(1300);

  /** When to come back after waiting in vain for others' idle tokens. */
  private static final Duration COME_BACK = Duration.ofMillis(500);

  private static final Duration REPORT_PERIOD = Duration.ofSeconds(5);

  private static final Duration RATE_PERIOD = Duration.ofSeconds(1);

  private record Waiting(long tokens, Instant since, ReservationListener listener) {}

  /** This instance's part of one customer's total. */
  private static final class Own {
    private long spent;
    private long reserved;
    private long idle;
    private long asked;
    private boolean noted;
    private boolean refused;
    private long drawn;
    private double rate;
    private final List<Waiting> waiting = new ArrayList<>();

    private long held() {
      return reserved + idle;
    }
  }

  private final String instance;
  private final Function<String, OptionalLong> prepaid;
  private final EventSink events;
  private final InstantSource clock;
  private final LeaseSizing sizing = new LeaseSizing(HORIZON, IDLE_SHARE, 0);
  private final Map<String, Own> accounts = new TreeMap<>();
  private final Map<String, Map<String, SharedNote.Account>> others = new HashMap<>();
  private Instant nextRefill = Instant.MIN;
  private Instant nextRate = Instant.MIN;
  private Instant nextReport = Instant.MIN;
  private boolean loaded;

  /** Creates the book of {@code instance}; {@code prepaid} gives a customer's total in force. */
  public AccountBook(
      String instance,
      Function<String, OptionalLong> prepaid,
      EventSink events,
      InstantSource clock) {
    this.events = events;
    this.instance = instance;
    this.prepaid = prepaid;
    this.clock = clock;
  }

  /** Sets aside {@code tokens} of a customer's total, now or as soon as they are granted. */
  public void reserve(String customer, long tokens, ReservationListener listener) {
    OptionalLong total = prepaid.apply(customer);
    if (total.isEmpty()) {
      listener.onReserved(Reservation.NONE);
      return;
    }
    Own own = own(customer);
    own.drawn += tokens;
    if (loaded && own.waiting.isEmpty() && usable(customer, own, total.getAsLong()) >= tokens) {
      take(customer, own, tokens, listener);
      return;
    }
    own.waiting.add(new Waiting(tokens, clock.instant(), listener));
  }

  /** Forgets a wish whose request is gone. */
  public void withdraw(String customer, ReservationListener listener) {
    own(customer).waiting.removeIf(waiting -> waiting.listener() == listener);
  }

  /** Counts {@code used} of a reservation as spent; the rest is free again. */
  public void settle(Reservation reservation, long used) {
    if (reservation.tokens() == 0) {
      return;
    }
    Own own = own(reservation.customer());
    long charged = Math.min(used, reservation.tokens());
    own.reserved -= reservation.tokens();
    own.spent += charged;
    own.idle += reservation.tokens() - charged;
    serveWaiting(reservation.customer(), own);
  }

  @Override
  public boolean waitsForOthers() {
    return accounts.values().stream().anyMatch(own -> !own.waiting.isEmpty());
  }

  /** Refuses what has waited too long, and follows the rates of spending. */
  public void tick() {
    Instant now = clock.instant();
    if (!now.isBefore(nextRate)) {
      nextRate = now.plus(RATE_PERIOD);
      accounts.values().forEach(AccountBook::followRate);
    }
    accounts.forEach((customer, own) -> refuseOverdue(customer, own, now));
    if (!now.isBefore(nextReport)) {
      nextReport = now.plus(REPORT_PERIOD);
      accounts.forEach(this::report);
    }
  }

  private void report(String customer, Own own) {
    events.accept(
        new GatewayEvent.AccountLevel(
            customer,
            total(customer),
            takenByOthers(customer) + own.spent + own.held(),
            own.spent,
            own.held(),
            own.idle,
            Math.round(own.rate)));
  }

  private static void followRate(Own own) {
    own.rate = (own.rate + own.drawn) / 2;
    own.drawn = 0;
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    others.clear();
    for (SharedNote note : notes) {
      if (note instanceof SharedNote.Account account) {
        if (!account.instance().equals(instance)) {
          remember(account);
        } else if (first) {
          own(account.customer()).spent += account.taken();
        }
      }
    }
    loaded = true;
    accounts.forEach(this::decideWish);
  }

  @Override
  public void onNote(SharedNote note, boolean own) {
    if (!(note instanceof SharedNote.Account account)) {
      return;
    }
    if (own) {
      decideWish(account.customer(), own(account.customer()));
    } else {
      remember(account);
    }
  }

  private void remember(SharedNote.Account note) {
    others.computeIfAbsent(note.customer(), customer -> new HashMap<>()).put(note.instance(), note);
  }

  /** Called when the own note was read back: all that came before it is known. */
  private void decideWish(String customer, Own own) {
    long asked = own.asked;
    own.asked = 0;
    if (asked > 0) {
      boolean granted = takenByOthers(customer) + own.spent + own.held() + asked <= total(customer);
      own.refused = !granted;
      if (granted) {
        own.idle += asked;
      }
    }
    serveWaiting(customer, own);
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    List<SharedNote> notes = new ArrayList<>();
    boolean refill = !now.isBefore(nextRefill);
    for (Map.Entry<String, Own> entry : accounts.entrySet()) {
      noteOf(entry.getKey(), entry.getValue(), refill).ifPresent(notes::add);
    }
    if (!notes.isEmpty()) {
      nextRefill = now.plus(REFILL_PAUSE);
    }
    return notes;
  }

  private Optional<SharedNote> noteOf(String customer, Own own, boolean refill) {
    long total = total(customer);
    long remaining = Math.max(0, total - takenByOthers(customer) - own.spent - own.held());
    boolean scarce = remaining < total * SCARCE_SHARE;
    long wish = own.waiting.isEmpty() ? 0 : waitingThatFits(own, remaining);
    if (!scarce) {
      wish = Math.max(wish, sizing.wanted(own.rate, wish + own.idle, own.idle, remaining));
    }
    boolean urgent = !own.waiting.isEmpty() && wish > 0;
    boolean low = !scarce && wish > 0 && own.idle < own.rate * HORIZON.toMillis() / 2000;
    boolean surplus = own.idle > 0 && own.waiting.isEmpty() && (scarce || own.rate < 1);
    if (!urgent && !own.refused && !(refill && (low || surplus || !own.noted))) {
      return Optional.empty();
    }
    if (surplus) {
      own.idle = 0;
    }
    own.refused = false;
    own.noted = true;
    own.asked = urgent || low ? wish : 0;
    return Optional.of(
        new SharedNote.Account(instance, customer, own.spent, own.held(), own.idle, own.asked));
  }

  /** What to ask for so that as many as fit can go, the oldest first. */
  private static long waitingThatFits(Own own, long remaining) {
    long fits = 0;
    for (Waiting waiting : own.waiting) {
      if (fits + waiting.tokens() <= own.idle + remaining) {
        fits += waiting.tokens();
      }
    }
    return Math.max(0, fits - own.idle);
  }

  private void serveWaiting(String customer, Own own) {
    long total = total(customer);
    for (Waiting waiting : List.copyOf(own.waiting)) {
      if (loaded && usable(customer, own, total) >= waiting.tokens()) {
        own.waiting.remove(waiting);
        take(customer, own, waiting.tokens(), waiting.listener());
      }
    }
    if (loaded && own.asked == 0) {
      refuseWhatCannotFit(customer, own, total);
    }
  }

  private void take(String customer, Own own, long tokens, ReservationListener listener) {
    own.idle -= tokens;
    own.reserved += tokens;
    listener.onReserved(new Reservation(customer, tokens));
  }

  private void refuseWhatCannotFit(String customer, Own own, long total) {
    long idleElsewhere = idleOfOthers(customer);
    long free = total - takenByOthers(customer) - own.spent - own.reserved;
    for (Iterator<Waiting> each = List.copyOf(own.waiting).iterator(); each.hasNext(); ) {
      Waiting waiting = each.next();
      if (waiting.tokens() > free + idleElsewhere) {
        own.waiting.remove(waiting);
        waiting
            .listener()
            .onRefused(
                Problem.of(
                    ErrorKind.BUDGET_EXHAUSTED,
                    "%d tokens are needed, %d of %d remain"
                        .formatted(waiting.tokens(), Math.max(0, free + idleElsewhere), total)));
      }
    }
  }

  private void refuseOverdue(String customer, Own own, Instant now) {
    for (Waiting waiting : List.copyOf(own.waiting)) {
      if (Duration.between(waiting.since(), now).compareTo(LONGEST_WAIT) > 0) {
        own.waiting.remove(waiting);
        waiting
            .listener()
            .onRefused(
                Problem.retryable(
                    ErrorKind.NO_LEASE,
                    "%d tokens of %s are not at hand".formatted(waiting.tokens(), customer),
                    COME_BACK));
      }
    }
  }

  /** Idle tokens that may be used; fewer after the total was lowered below what is out. */
  private long usable(String customer, Own own, long total) {
    long over = takenByOthers(customer) + own.spent + own.held() - total;
    return own.idle - Math.max(0, over);
  }

  private long takenByOthers(String customer) {
    return others.getOrDefault(customer, Map.of()).values().stream()
        .mapToLong(SharedNote.Account::taken)
        .sum();
  }

  private long idleOfOthers(String customer) {
    return others.getOrDefault(customer, Map.of()).values().stream()
        .mapToLong(note -> note.idle() + note.asked())
        .sum();
  }

  private long total(String customer) {
    return prepaid.apply(customer).orElse(0);
  }

  private Own own(String customer) {
    return accounts.computeIfAbsent(customer, name -> new Own());
  }
}
