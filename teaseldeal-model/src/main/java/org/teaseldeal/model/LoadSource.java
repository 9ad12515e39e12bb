package org.teaseldeal.model;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.teaseldeal.gateway.flow.PromptPart;

/** Draws the requests of a scenario's callers, and the pauses between them. */
final class LoadSource {
  private final SplittableRandom random;
  private final Scenario.Engines engines;
  private final Scenario.Services services;
  private final List<Scenario.Kind> kinds;
  private final List<String> customers;
  private final double[] customerWeights;
  private final double perSecond;
  private long requests;
  private double factor = 1;
  private double hotCustomer = 1;
  private boolean hotBeginning;

  LoadSource(Scenario scenario, SplittableRandom random) {
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
    this.perSecond = kinds.stream().mapToDouble(Scenario.Kind::perSecond).sum();
  }

  /** The customers' names, the largest first. */
  List<String> customers() {
    return customers;
  }

  /** Multiplies the load from now on. */
  void factor(double times) {
    factor = factor == 0 ? 0 : times;
  }

  /** Multiplies the load of the largest customer from now on. */
  void hotCustomer(double times) {
    hotCustomer = times;
  }

  /** Gives half of the prompts of each kind the same beginning, or no more. */
  void hotBeginning(boolean shared) {
    hotBeginning = shared;
  }

  /** Nobody sends any more. */
  void end() {
    factor = 0;
  }

  /** The time until the next request; empty if there is none. */
  Optional<Duration> nextPause() {
    if (factor == 0) {
      return Optional.empty();
    }
    double seconds = -Math.log(1 - random.nextDouble()) / (perSecond * factor);
    return Optional.of(Duration.ofNanos(Math.round(seconds * 1e9)));
  }

  /** Draws the next request. */
  ModelRequest next() {
    Scenario.Kind kind = drawKind();
    int customer = drawCustomer();
    long number = ++requests;
    if (!kind.streamed()) {
      double work = services.work().toNanos() * spread(0.5);
      return new ModelRequest(
          number, kind, customers.get(customer), List.of(), 0, 0, Math.round(work));
    }
    int subject = hotBeginning && random.nextBoolean() ? 0 : random.nextInt(kind.subjects());
    long own = Math.max(1, Math.round(kind.ownTokens() * spread(1.0)));
    long output = Math.max(1, Math.round(kind.events() * spread(0.5))) * engines.tokensPerEvent();
    List<PromptPart> parts =
        List.of(
            new PromptPart(kind.name() + "-" + subject, kind.sharedTokens()),
            new PromptPart("own-" + number, own));
    return new ModelRequest(
        number, kind, customers.get(customer), parts, kind.sharedTokens() + own, output, 0);
  }

  /** A factor around 1, lognormal with {@code sigma}. */
  private double spread(double sigma) {
    double normal =
        Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    return Math.exp(sigma * normal - sigma * sigma / 2);
  }

  private Scenario.Kind drawKind() {
    double drawn = random.nextDouble() * perSecond;
    for (Scenario.Kind kind : kinds) {
      drawn -= kind.perSecond();
      if (drawn < 0) {
        return kind;
      }
    }
    return kinds.getLast();
  }

  private int drawCustomer() {
    double sum = hotCustomer - 1;
    for (double weight : customerWeights) {
      sum += weight;
    }
    double drawn = random.nextDouble() * sum - (hotCustomer - 1);
    for (int i = 0; i < customerWeights.length; i++) {
      drawn -= customerWeights[i];
      if (drawn < 0) {
        return i;
      }
    }
    return customerWeights.length - 1;
  }
}
