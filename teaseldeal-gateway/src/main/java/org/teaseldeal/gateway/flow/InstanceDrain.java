package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.decisions.DrainPhases;
import org.teaseldeal.decisions.DrainPhases.Left;
import org.teaseldeal.decisions.DrainPhases.Phase;
import org.teaseldeal.gateway.account.AccountBook;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.net.HttpServer;

/**
 * Carries out the phases of an instance's stop.
 *
 * <p>It steps on the event loop, as a task with a time of its own: the loop handles the input that
 * has come before it runs these, so an answer that arrived in time is passed on before a step
 * breaks off what is left, and no request comes between a look at what is left and the step.
 */
public final class InstanceDrain {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceDrain.class);

  /** Fine against the shortest of the phases, 60 ms. */
  private static final Duration STEP = Duration.ofMillis(20);

  private final ScheduledExecutorService loop;
  private final HttpServer callers;
  private final RequestDesk desk;
  private final AccountBook accounts;
  private final EventSink events;
  private final InstantSource clock;
  private final Duration grace;
  private final DrainPhases phases;
  private final CountDownLatch done = new CountDownLatch(1);
  private Phase phase = Phase.ACCEPTING;
  private int brokenOff;

  /**
   * Begins a stop now.
   *
   * @param loop the event loop that carries the callers
   * @param clock must not follow steps of the time of day
   * @param grace until the process is killed
   */
  public InstanceDrain(
      ScheduledExecutorService loop,
      HttpServer callers,
      RequestDesk desk,
      AccountBook accounts,
      EventSink events,
      InstantSource clock,
      Duration grace) {
    this.loop = loop;
    this.callers = callers;
    this.desk = desk;
    this.accounts = accounts;
    this.events = events;
    this.clock = clock;
    this.grace = grace;
    this.phases = new DrainPhases(clock.instant(), grace);
  }

  /** Returns when the process may end. */
  public void run() throws InterruptedException {
    callers.closeAfterAnswers();
    loop.execute(this::begin);
    Future<?> steps =
        loop.scheduleAtFixedRate(
            this::step, STEP.toMillis(), STEP.toMillis(), TimeUnit.MILLISECONDS);
    if (!done.await(grace.toMillis(), TimeUnit.MILLISECONDS)) {
      LOG.warn("the stop did not come to its end in {}", grace);
    }
    steps.cancel(false);
    events.accept(new GatewayEvent.InstanceState("stopped", brokenOff + " requests cut off"));
  }

  private void begin() {
    events.accept(new GatewayEvent.InstanceState("draining", desk.open() + " requests"));
    desk.drain(phases.admission());
    accounts.close();
  }

  private void step() {
    try {
      Phase next =
          phases.next(clock.instant(), new Left(callers.unanswered(), accounts.allReturned()));
      if (next != phase) {
        phase = next;
        enter(next);
      }
    } catch (RuntimeException e) {
      // A step that throws would be the last one, and the process be killed with its answers.
      LOG.error("a step of the stop failed", e);
    }
  }

  private void enter(Phase next) {
    switch (next) {
      case ACCEPTING, SHORT_ONLY -> {}
      case REFUSING -> desk.refuseAll();
      case BREAKING_OFF -> {
        brokenOff = desk.open();
        desk.breakOffAll();
      }
      case CLOSING -> callers.beginToStopAccepting();
      case LEAVING -> callers.stopReading();
      case DONE -> done.countDown();
    }
  }
}
