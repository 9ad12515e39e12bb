package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * Chooses the server of a request to a service without engines: a few servers, each of which runs a
 * few requests at once, lets a few more wait, and rejects the rest.
 *
 * <p>If many instances send to the server that looks least loaded, and learn of each other's
 * requests later than a request takes, all of them send to the same server until the next report,
 * and it rejects requests while the others have room. Therefore a server is drawn at random, in
 * proportion to the slots that are presumably free there. The older the last report is, compared
 * with the time of a request, the less it counts against the server's usual load.
 *
 * <p>A server that has rejected a request gets none for a while. If none is left, no server is
 * chosen, and the request had better wait here than be rejected there.
 *
 * <p>If the servers are busy with more than they can run, requests that are less urgent than others
 * get only what these leave of this instance's share of the servers' rate. While an instance hears
 * of no other one, this holds for all requests. The shares of all instances add up to the whole:
 * half of it is divided evenly, the other half by the requests that each had running while it heard
 * of the others.
 */
public final class PlainPlacement {
  /**
   * A server.
   *
   * @param slots number of requests that it runs at once
   * @param own number of requests that this instance has outstanding there
   * @param others number of requests that the other instances had there at their last report
   * @param slowness its answer time relative to the other servers'
   */
  public record Candidate(BackendServerId id, int slots, int own, int others, double slowness) {
    public Candidate {
      Preconditions.requirePositive(slots, "slots");
      Preconditions.requireNotNegative(own, "own");
      Preconditions.requireNotNegative(others, "others");
      Preconditions.require(
          slowness > 0, "slowness was %s, expected more than 0".formatted(slowness));
    }
  }

  /**
   * What is known of the other instances.
   *
   * @param reportAge time since the last report; zero if there has been none
   * @param instances number of instances, including this one
   */
  public record Fleet(Duration reportAge, int instances) {
    public Fleet {
      Preconditions.requirePositive(instances, "instances");
    }

    private boolean isCutOff() {
      return instances > 1 && reportAge.compareTo(MAX_REPORT_AGE) >= 0;
    }
  }

  /** The age from which a report says nothing, so that this instance counts as cut off. */
  private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(1);

  /** The time from a change at an instance until the report of it arrives. */
  private static final double REPORT_DELAY_MILLIS = 80;

  /**
   * The part of a request's time after which a report counts little. Instances that follow the same
   * report longer than this send more in response to it than the report has shown to be free.
   */
  private static final double REPORT_USE = 1.0 / 3;

  /** How long a server that has rejected a request gets none: some of its requests end. */
  private static final Duration REJECTION_HOLD = Duration.ofMillis(100);

  /** The time in which the usual load of the servers follows a change. */
  private static final double LOAD_AVERAGING_MILLIS = 1000;

  /** The time in which an instance's share follows a change of what it has running. */
  private static final double SHARE_AVERAGING_MILLIS = 10_000;

  /** The part of a server's slots that counts as free at least. */
  private static final double MIN_FREE_PART = 0.05;

  /** Servers are busy if as many requests as this multiple of their slots run or wait there. */
  private static final double BUSY_LOAD = 1.5;

  /** How long a rank counts as in use after its last request. */
  private static final Duration RANK_TTL = Duration.ofSeconds(10);

  private static final double DURATION_GAIN = 0.05;
  private static final double UNKNOWN_DURATION_MILLIS = 50;

  private final RandomGenerator random;
  private final Map<BackendServerId, Double> usualOthers = new HashMap<>();
  private final Map<BackendServerId, Instant> heldUntil = new HashMap<>();
  private double durationMillis = UNKNOWN_DURATION_MILLIS;
  private double load;
  private double othersForShare;

  /** The mean number of requests that this instance sends in a millisecond. */
  private double ownRate;

  private double credit = 1;
  private Instant updatedAt = Instant.MIN;
  private int mostUrgentRank = Integer.MAX_VALUE;
  private Instant mostUrgentAt = Instant.MIN;

  /** Creates the placement of one service. */
  public PlainPlacement(RandomGenerator random) {
    this.random = random;
  }

  /** Records how long a server took for an answer. */
  public void onAnswered(Duration took) {
    durationMillis += DURATION_GAIN * (Math.max(1, took.toMillis()) - durationMillis);
  }

  /** Records that a server rejected a request because it was full. */
  public void onRejected(BackendServerId server, Instant now) {
    heldUntil.put(server, now.plus(REJECTION_HOLD));
  }

  /** Drops the servers that {@code listed} doesn't contain. */
  public void retain(Set<BackendServerId> listed) {
    usualOthers.keySet().retainAll(listed);
    heldUntil.keySet().retainAll(listed);
  }

  /** Returns the usual time of a request, from its sending to its answer. */
  public Duration usualDuration() {
    return Duration.ofNanos((long) (durationMillis * 1e6));
  }

  /** Returns how many requests this instance may send in a second if the servers are busy. */
  public double startsPerSecond(List<Candidate> servers, int instances) {
    return Math.max(1.0 / instances, share(instances)) * slots(servers) * 1000 / durationMillis;
  }

  /**
   * Chooses a server for a request.
   *
   * @param rank the request's priority; 0 is the most urgent
   * @return empty if the request has to wait, or if there are no servers
   */
  public Optional<BackendServerId> choose(
      List<Candidate> servers, Fleet fleet, int rank, Instant now) {
    update(servers, fleet, now);
    if (isLimited(servers, fleet, rank, now) && credit < 1) {
      return Optional.empty();
    }
    Optional<BackendServerId> chosen = draw(servers, fleet, now);
    if (chosen.isPresent()) {
      credit = Math.max(-largestCredit(servers), credit - 1);
      ownRate += fleet.isCutOff() ? 0 : 1 / SHARE_AVERAGING_MILLIS;
    }
    return chosen;
  }

  private boolean isLimited(List<Candidate> servers, Fleet fleet, int rank, Instant now) {
    if (rank <= mostUrgentRank || now.isAfter(mostUrgentAt.plus(RANK_TTL))) {
      mostUrgentRank = rank;
      mostUrgentAt = now;
    }
    return fleet.isCutOff() || (rank > mostUrgentRank && load >= BUSY_LOAD * slots(servers));
  }

  private Optional<BackendServerId> draw(List<Candidate> servers, Fleet fleet, Instant now) {
    Optional<BackendServerId> chosen = Optional.empty();
    double sum = 0;
    for (Candidate server : servers) {
      if (now.isBefore(heldUntil.getOrDefault(server.id(), Instant.MIN))) {
        continue;
      }
      double weight = weight(server, fleet);
      sum += weight;
      if (random.nextDouble() * sum < weight) {
        chosen = Optional.of(server.id());
      }
    }
    return chosen;
  }

  private double weight(Candidate server, Fleet fleet) {
    double free = server.slots() - server.own() - presumedOthers(server, fleet);
    return Math.max(server.slots() * MIN_FREE_PART, free) / server.slowness();
  }

  private double presumedOthers(Candidate server, Fleet fleet) {
    double usual = usualOthers.getOrDefault(server.id(), 0.0);
    double age = fleet.reportAge().toMillis() + REPORT_DELAY_MILLIS;
    return usual + (server.others() - usual) * Math.exp(-age / (REPORT_USE * durationMillis));
  }

  private double share(int instances) {
    double even = 1.0 / instances;
    double own = ownRate * durationMillis;
    double observed = own <= 0 ? 0 : own / (own + othersForShare);
    return (even + observed) / 2;
  }

  /** Returns how many requests may be sent at once after a pause: as many as one server runs. */
  private static double largestCredit(List<Candidate> servers) {
    return Math.max(1, (double) slots(servers) / Math.max(1, servers.size()));
  }

  private static int slots(List<Candidate> servers) {
    int slots = 0;
    for (Candidate server : servers) {
      slots += server.slots();
    }
    return slots;
  }

  /** Updates the averages and the credit for the time since the last choice. */
  private void update(List<Candidate> servers, Fleet fleet, Instant now) {
    boolean first = updatedAt.equals(Instant.MIN);
    double passed = first ? 0 : Duration.between(updatedAt, now).toNanos() / 1e6;
    updatedAt = now;
    if (!fleet.isCutOff()) {
      updateAverages(servers, first, passed);
      ownRate *= Math.exp(-passed / SHARE_AVERAGING_MILLIS);
    }
    double rate = share(fleet.instances()) * slots(servers) / durationMillis;
    credit = Math.min(largestCredit(servers), credit + rate * passed);
  }

  private void updateAverages(List<Candidate> servers, boolean first, double passed) {
    double loadGain = first ? 1 : 1 - Math.exp(-passed / LOAD_AVERAGING_MILLIS);
    double shareGain = first ? 1 : 1 - Math.exp(-passed / SHARE_AVERAGING_MILLIS);
    int own = 0;
    int others = 0;
    for (Candidate server : servers) {
      double usual = usualOthers.getOrDefault(server.id(), (double) server.others());
      usualOthers.put(server.id(), usual + loadGain * (server.others() - usual));
      own += server.own();
      others += server.others();
    }
    load += loadGain * (own + others - load);
    othersForShare += shareGain * (others - othersForShare);
  }
}
