package org.teaseldeal.model;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.teaseldeal.api.Preconditions;

/**
 * A load on a fleet, and the faults that occur meanwhile.
 *
 * @param name the name of the load pattern
 * @param title a one-line description
 * @param instances the number of instances that the scenario describes; engines, services and load
 *     are scaled in proportion for another size
 * @param dataCentres the number of data centres that the instances are spread over
 * @param duration how long the load lasts
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
   * The customers.
   *
   * @param prepaid the tokens that each customer has paid for
   * @param skew the exponent by which the load decreases with the customer's rank; 0 for equal
   *     loads
   */
  public record Customers(int count, long prepaid, double skew) {}

  /**
   * The shared log.
   *
   * @param append the time that one append takes; appends are applied one after the other
   * @param answer the time that the log adds before it answers a call
   * @param history the age up to which records can be read
   */
  public record Log(Duration append, Duration answer, Duration history) {}

  /**
   * The instances' network links.
   *
   * @param rateMbit the rate of each link in Mbit/s, shared by both directions
   * @param delay the delay in one direction
   * @param loss the share of datagrams that are lost
   */
  public record Links(double rateMbit, Duration delay, double loss) {}

  /**
   * The inference engines.
   *
   * @param maxConcurrentRequests the number of requests that each engine runs at once
   * @param step the basic duration of a step, in which each running request gets a token
   * @param stepPerRequest the time that each running request adds to a step
   * @param promptTokensPerMilli the prompt tokens read per millisecond
   * @param chunk the maximum number of prompt tokens read within one step
   * @param cacheTokens the capacity of each engine's cache for shared prompt parts
   * @param tokensPerEvent the tokens that one event of a stream carries
   * @param versions the number of software versions that serve side by side
   * @param speeds how fast the slowest and the fastest engine work
   * @param memoryTokens the tokens of running requests that each engine holds at most; beyond that
   *     it sets back the request that it began last
   */
  public record Engines(
      int count,
      int maxConcurrentRequests,
      Duration step,
      Duration stepPerRequest,
      double promptTokensPerMilli,
      int chunk,
      long cacheTokens,
      int tokensPerEvent,
      int versions,
      Speeds speeds,
      long memoryTokens) {}

  /**
   * How fast the engines work, relative to the figures of the scenario. A third of the engines have
   * the lowest speed, a third the highest, and a third their geometric mean.
   */
  public record Speeds(double lowest, double highest) {
    private static final int GRADES = 3;

    /** Returns the speed of the engine with this number. */
    double of(int engine) {
      double step = (double) (engine % GRADES) / (GRADES - 1);
      return lowest * Math.pow(highest / lowest, step);
    }
  }

  /**
   * The servers of the plain service, which refuse requests beyond those that run and wait.
   *
   * @param maxConcurrentRequests the number of requests that each server runs at once
   * @param queue the number of further requests that wait at each server
   * @param work the mean service time of a request
   */
  public record Services(int count, int maxConcurrentRequests, int queue, Duration work) {}

  /** How a kind of request is answered, and whether it may be run again. */
  public enum Answer {
    STREAM,
    ONCE,
    REPEATABLE
  }

  /**
   * A kind of request.
   *
   * @param perSecond the requests per second, over the whole fleet that the scenario describes
   * @param aim the target for the time until the first part of the answer
   * @param pauseAim the target for the longest pause between parts of a stream
   * @param deadline the time after which the caller gives up
   * @param worth the worth of an answer that meets its targets
   * @param lateWorth the worth of an answer that misses one
   * @param subjects the number of subjects; prompts of the same subject share a prefix
   * @param sharedTokens the length of that prefix in tokens
   * @param ownTokens the mean number of prompt tokens that no other request has
   * @param events the mean number of events of an answer
   * @param resumable whether a stream may go on at another engine after its last event
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
      int events,
      boolean resumable) {
    boolean streamed() {
      return answer == Answer.STREAM;
    }
  }

  /** The kinds of faults and changes of load. */
  public enum FaultKind {
    /** Instances reach neither their peers nor the log. */
    CUT,
    /** Instances reach the log but none of their peers. */
    ISOLATED,
    /** The shared log answers no call. */
    LOG_DOWN,
    /** Instances lose power. */
    POWER,
    /** Instances stop in an orderly way, one after the other, and start again. */
    STOP,
    /** Engines crash and start again with empty caches. */
    ENGINE_CRASH,
    /**
     * Engines are replaced one after the other: each restarts under its name with the next software
     * version.
     */
    RELEASE,
    /** The load of all customers increases. */
    BURST,
    /** The weight of the largest customer in the load is multiplied; the total stays the same. */
    HOT_CUSTOMER,
    /** Half of the prompts of each kind share one prefix. */
    HOT_BEGINNING,
    /** Plans are published one after the other. */
    CONFIGURATIONS,
    /** The instances that hold the largest customer's total lose power, one after the other. */
    HOLDER_LOST,
    /**
     * The largest customer also sends requests of the first kind with a prompt part that crashes
     * each engine that begins to answer it. The engine is back after {@code gap}.
     */
    CRASHING_PART,
    /** A share of the callers' attempts reach the same instance. */
    SKEW,
    /** Engines name a limit of {@code factor} requests a second in their answers. */
    RATE_LIMIT,
    /** Plain servers name a limit of {@code factor} requests a second in their answers. */
    PLAIN_RATE_LIMIT,
    /**
     * Engines say in all their answers that they leave, while the list shows them as ready. They
     * end after the duration, and others take their places after {@code gap}.
     */
    LEAVE,
    /** Engines reject all requests and ask for a pause of {@code factor} seconds. */
    PAUSE,
    /**
     * Sound engines send nothing for the duration and go on then, one after the other with a {@code
     * gap}.
     */
    SILENCE,
    /**
     * Sound engines neither read nor send anything for the duration, probes included, and go on
     * then, one after the other with a {@code gap}.
     */
    FREEZE;

    private static final Set<FaultKind> SPARING_ANSWERS =
        EnumSet.of(BURST, HOT_CUSTOMER, HOT_BEGINNING, CONFIGURATIONS, SKEW, SILENCE, FREEZE);

    /** Whether nothing that the fault does ends an answer that has begun. */
    boolean sparesAnswers() {
      return SPARING_ANSWERS.contains(this);
    }
  }

  /** Where in a prompt a part stands, which is never the last. */
  public enum PartPosition {
    FIRST,
    MIDDLE
  }

  /**
   * One fault or change of load.
   *
   * @param at the start, counted from the start of the load
   * @param lasting the duration
   * @param share the share of the instances or engines that are affected
   * @param factor the factor by which the load is multiplied, the number of plans, the number of
   *     crashing requests a second, the limit of requests a second, or the seconds of a pause
   * @param gap the time between consecutive stops, losses of power or published plans, or until a
   *     crashed engine is back
   * @param position where the crashing part stands
   * @param eventsBeforeCrash the events of a crashing request that an engine sends before it
   *     crashes
   */
  public record Fault(
      FaultKind kind,
      Duration at,
      Duration lasting,
      double share,
      double factor,
      Duration gap,
      PartPosition position,
      int eventsBeforeCrash) {}

  public Scenario {
    Preconditions.requirePositive(instances, "instances");
    Preconditions.requirePositive(dataCentres, "data centres");
    Preconditions.require(!kinds.isEmpty(), "kinds of request were empty, expected at least one");
    kinds = List.copyOf(kinds);
    faults = List.copyOf(faults);
  }

  /** Returns this scenario for a fleet of another size, with the same load per instance. */
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
            engines.maxConcurrentRequests(),
            engines.step(),
            engines.stepPerRequest(),
            engines.promptTokensPerMilli(),
            engines.chunk(),
            engines.cacheTokens(),
            engines.tokensPerEvent(),
            engines.versions(),
            engines.speeds(),
            engines.memoryTokens()),
        new Services(
            scaled(services.count(), scale),
            services.maxConcurrentRequests(),
            services.queue(),
            services.work()),
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
        kind.events(),
        kind.resumable());
  }
}
