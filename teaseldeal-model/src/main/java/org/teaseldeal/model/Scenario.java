package org.teaseldeal.model;

import java.time.Duration;
import java.util.List;
import org.teaseldeal.api.Preconditions;

/**
 * A load on a fleet, and what happens to the fleet meanwhile.
 *
 * @param name of the load pattern
 * @param instances of the fleet as described; engines, services and load grow with a larger one
 * @param dataCentres that the instances are spread over
 * @param duration of the load
 */
public record Scenario(
    String name,
    String title,
    int instances,
    int dataCentres,
    Duration duration,
    Customers customers,
    Log log,
    Links links,
    Engines engines,
    Services services,
    List<Kind> kinds,
    List<Fault> faults) {
  /**
   * Who is served.
   *
   * @param prepaid tokens of each
   * @param skew exponent by which the load falls from one customer to the next; 0 for equal loads
   */
  public record Customers(int count, long prepaid, double skew) {}

  /**
   * The shared log.
   *
   * @param append time of one; appends are carried out one after the other
   * @param answer time on the way there and back
   * @param history how long records are kept
   */
  public record Log(Duration append, Duration answer, Duration history) {}

  /**
   * The instances' links.
   *
   * @param rateMbit of each, in each direction
   * @param delay one way
   * @param loss share of datagrams that are lost
   */
  public record Links(double rateMbit, Duration delay, double loss) {}

  /**
   * The model engines.
   *
   * @param places requests that each runs at once
   * @param step time in which each running request gets a token, and what each of them adds
   * @param chunk prompt tokens that are read within one step at most
   * @param cacheTokens of prompts' shared parts that each keeps
   */
  public record Engines(
      int count,
      int places,
      Duration step,
      Duration stepPerPlace,
      double promptTokensPerMilli,
      int chunk,
      long cacheTokens,
      int tokensPerEvent) {}

  /** The servers of the plain service; what doesn't fit into places and queue is turned away. */
  public record Services(int count, int places, int queue, Duration work) {}

  /** How the answers of a kind of request are given. */
  public enum Answer {
    STREAM,
    ONCE,
    REPEATABLE
  }

  /**
   * A kind of request.
   *
   * @param perSecond over the whole fleet as described
   * @param subjects of which requests share a beginning of {@code sharedTokens}
   * @param ownTokens of the prompt that no other request has; on average
   * @param events of an answer; on average
   */
  public record Kind(
      String name,
      Answer answer,
      double perSecond,
      Duration aim,
      Duration pauseAim,
      Duration deadline,
      double worth,
      double lateWorth,
      int subjects,
      int sharedTokens,
      int ownTokens,
      int events) {
    boolean streamed() {
      return answer == Answer.STREAM;
    }
  }

  /** What happens to the fleet. */
  public enum FaultKind {
    /** Instances reach neither each other nor the log. */
    CUT,
    /** Instances reach the log and no other instance. */
    ISOLATED,
    /** The shared log answers nobody. */
    LOG_DOWN,
    /** Instances lose power. */
    POWER,
    /** Instances are told to stop, one after the other, and start again. */
    STOP,
    /** Engines crash and come back with empty caches. */
    ENGINE_CRASH,
    /** All load grows. */
    BURST,
    /** One customer sends several times its usual. */
    HOT_CUSTOMER,
    /** Half of all requests share one beginning. */
    HOT_BEGINNING,
    /** Configurations come one after the other. */
    CONFIGURATIONS,
    /** The instances that hold the first customer's total lose power, one after the other. */
    HOLDER_LOST
  }

  /**
   * One fault.
   *
   * @param at since the load began
   * @param lasting how long it lasts
   * @param share of the instances or engines that it concerns
   * @param factor by which load grows, or how many configurations come
   * @param gap between one and the next
   */
  public record Fault(
      FaultKind kind, Duration at, Duration lasting, double share, double factor, Duration gap) {}

  public Scenario {
    Preconditions.requirePositive(instances, "instances");
    Preconditions.requirePositive(dataCentres, "data centres");
    Preconditions.require(!kinds.isEmpty(), "kinds of request were none, expected one");
    kinds = List.copyOf(kinds);
    faults = List.copyOf(faults);
  }

  /** The same load for each instance, in a fleet of another size. */
  Scenario scaledTo(int size) {
    double scale = (double) size / instances;
    return new Scenario(
        name,
        title,
        size,
        Math.min(dataCentres, size),
        duration,
        new Customers(customers.count(), Math.round(customers.prepaid() * scale), customers.skew()),
        log,
        links,
        new Engines(
            scaled(engines.count(), scale),
            engines.places(),
            engines.step(),
            engines.stepPerPlace(),
            engines.promptTokensPerMilli(),
            engines.chunk(),
            engines.cacheTokens(),
            engines.tokensPerEvent()),
        new Services(
            scaled(services.count(), scale), services.places(), services.queue(), services.work()),
        kinds.stream().map(kind -> scaled(kind, scale)).toList(),
        faults);
  }

  private static int scaled(int count, double scale) {
    return Math.max(1, (int) Math.round(count * scale));
  }

  private static Kind scaled(Kind kind, double scale) {
    return new Kind(
        kind.name(),
        kind.answer(),
        kind.perSecond() * scale,
        kind.aim(),
        kind.pauseAim(),
        kind.deadline(),
        kind.worth(),
        kind.lateWorth(),
        scaled(kind.subjects(), scale),
        kind.sharedTokens(),
        kind.ownTokens(),
        kind.events());
  }
}
