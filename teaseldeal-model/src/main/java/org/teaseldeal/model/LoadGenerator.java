package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.teaseldeal.gateway.flow.PromptPart;

/** Generates a scenario's requests and the random times between them. */
final class LoadGenerator {
  private static final long CRASHING_PART_TOKENS = 100;

  private final SplittableRandom random;
  private final Scenario.Engines engines;
  private final Scenario.Services services;
  private final List<Scenario.Kind> kinds;
  private final List<String> customers;
  private final double[] customerWeights;
  private final double requestsPerSecond;
  private long requestCount;
  private double loadFactor = 1;
  private double hotCustomerFactor = 1;
  private boolean sharedPrefix;

  LoadGenerator(Scenario scenario, SplittableRandom random) {
    this.random = random;
    this.engines = scenario.engines();
    this.services = scenario.services();
    this.kinds = scenario.kinds();
    this.customers =
        IntStream.range(0, scenario.customers().count())
            .mapToObj("customer-%03d"::formatted)
            .toList();
    this.customerWeights =
        IntStream.range(0, customers.size())
            .mapToDouble(i -> 1 / Math.pow(i + 1, scenario.customers().skew()))
            .toArray();
    this.requestsPerSecond = kinds.stream().mapToDouble(Scenario.Kind::perSecond).sum();
  }

  /** Returns the customers' names, ordered by load with the largest first. */
  List<String> customers() {
    return customers;
  }

  /** Multiplies the scenario's load by {@code times} from now on; has no effect after a stop. */
  void setLoadFactor(double times) {
    loadFactor = loadFactor == 0 ? 0 : times;
  }

  /**
   * Multiplies the weight of the largest customer among all customers by {@code times} from now on.
   * The total load stays the same.
   */
  void setHotCustomerFactor(double times) {
    hotCustomerFactor = times;
  }

  /** Sets whether half of the prompts of each kind begin with the same shared part. */
  void setSharedPrefix(boolean shared) {
    sharedPrefix = shared;
  }

  /** Stops the load for good: no further request is generated. */
  void stop() {
    loadFactor = 0;
  }

  /** Returns the time until the next request, or empty if the load has stopped. */
  Optional<Duration> nextInterarrivalTime() {
    if (loadFactor == 0) {
      return Optional.empty();
    }
    double seconds = -Math.log(1 - random.nextDouble()) / (requestsPerSecond * loadFactor);
    return Optional.of(Duration.ofNanos(Math.round(seconds * 1e9)));
  }

  /** Generates the next request. */
  ModelRequest nextRequest() {
    Scenario.Kind kind = drawKind();
    int customer = drawCustomer();
    long number = ++requestCount;
    if (!kind.streamed()) {
      double work = services.work().toNanos() * logNormalFactor(0.5);
      return new ModelRequest(
          number,
          kind,
          customers.get(customer),
          List.of(),
          0,
          0,
          Math.round(work),
          Optional.empty());
    }
    return streamedRequest(number, kind, customers.get(customer), Optional.empty());
  }

  /** Generates a request of the first kind and the largest customer with a crashing part. */
  ModelRequest crashingRequest(CrashingPart part) {
    return streamedRequest(
        ++requestCount, kinds.getFirst(), customers.getFirst(), Optional.of(part));
  }

  private ModelRequest streamedRequest(
      long number, Scenario.Kind kind, String customer, Optional<CrashingPart> crashingPart) {
    int subject = sharedPrefix && random.nextBoolean() ? 0 : random.nextInt(kind.subjects());
    long own = Math.max(1, Math.round(kind.ownTokens() * logNormalFactor(1.0)));
    long output =
        Math.max(1, Math.round(kind.events() * logNormalFactor(0.5))) * engines.tokensPerEvent();
    List<PromptPart> parts = new ArrayList<>();
    parts.add(new PromptPart(kind.name() + "-" + subject, kind.sharedTokens()));
    crashingPart.ifPresent(
        part ->
            parts.add(
                switch (part.position()) {
                  case FIRST -> 0;
                  case MIDDLE -> 1;
                },
                new PromptPart(part.id(), CRASHING_PART_TOKENS)));
    parts.add(new PromptPart("own-" + number, own));
    long input = parts.stream().mapToLong(PromptPart::tokens).sum();
    return new ModelRequest(number, kind, customer, parts, input, output, 0, crashingPart);
  }

  /** Draws a factor with mean 1 from a log-normal distribution with {@code sigma}. */
  private double logNormalFactor(double sigma) {
    double normal =
        Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    return Math.exp(sigma * normal - sigma * sigma / 2);
  }

  private Scenario.Kind drawKind() {
    double drawn = random.nextDouble() * requestsPerSecond;
    for (Scenario.Kind kind : kinds) {
      drawn -= kind.perSecond();
      if (drawn < 0) {
        return kind;
      }
    }
    return kinds.getLast();
  }

  private int drawCustomer() {
    double sum = hotCustomerFactor - 1;
    for (double weight : customerWeights) {
      sum += weight;
    }
    double drawn = random.nextDouble() * sum - (hotCustomerFactor - 1);
    for (int i = 0; i < customerWeights.length; i++) {
      drawn -= customerWeights[i];
      if (drawn < 0) {
        return i;
      }
    }
    return customerWeights.length - 1;
  }
}
