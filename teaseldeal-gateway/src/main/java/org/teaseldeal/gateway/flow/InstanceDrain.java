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
import org.teaseldeal.decisions.DrainPhases.Outstanding;
import org.teaseldeal.decisions.DrainPhases.Phase;
import org.teaseldeal.gateway.account.PrepaidAccounts;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.path.RequestRelay;
import org.teaseldeal.net.HttpServer;

/**
 * Carries out the phases of stopping an instance.
 *
 * <p>Each step runs as a scheduled task on the event loop. The loop processes input that has
 * already arrived before it runs such a task, so an answer that arrived in time is passed on before
 * a step aborts the open requests. No request can arrive between the step's check of the open
 * requests and its action.
 */
public final class InstanceDrain {
  private static final Logger LOG = LoggerFactory.getLogger(InstanceDrain.class);

  private final ScheduledExecutorService loop;
  private final HttpServer callerServer;
  private final RequestDispatcher dispatcher;
  private final RequestRelay relay;
  private final HandedOverRequests handedOver;
  private final PrepaidAccounts accounts;
  private final EventSink events;
  private final InstantSource clock;
  private final Duration grace;
  private final DrainPhases phases;
  private final CountDownLatch done = new CountDownLatch(1);
  private Phase phase = Phase.ACCEPTING;
  private volatile int abortedRequests;

  /** The longest time in which the event loop may not have read the callers' connections. */
  private volatile Duration longestUnread = Duration.ZERO;

  /**
   * Creates a drain whose grace period begins now; {@link #run()} carries it out.
   *
   * @param callerServer accepts the callers' connections
   * @param relay relays requests of other instances
   * @param handedOver the requests that this instance has taken from others or handed over
   * @param loop the event loop that serves the callers' connections
   * @param clock a monotonic clock, which doesn't follow adjustments of the time of day
   * @param grace the time until the process is killed
   */
  public InstanceDrain(
      ScheduledExecutorService loop,
      HttpServer callerServer,
      RequestDispatcher dispatcher,
      RequestRelay relay,
      HandedOverRequests handedOver,
      PrepaidAccounts accounts,
      EventSink events,
      InstantSource clock,
      Duration grace) {
    this.loop = loop;
    this.callerServer = callerServer;
    this.dispatcher = dispatcher;
    this.relay = relay;
    this.handedOver = handedOver;
    this.accounts = accounts;
    this.events = events;
    this.clock = clock;
    this.grace = grace;
    this.phases = new DrainPhases(clock.instant(), grace);
  }

  /** Carries out the drain and returns when the process may exit. */
  public void run() throws InterruptedException {
    callerServer.closeAfterAnswers();
    loop.execute(this::begin);
    long interval = DrainPhases.STEP_INTERVAL.toMillis();
    // At a fixed rate, steps that were missed while the loop was blocked would follow at once.
    Future<?> steps =
        loop.scheduleWithFixedDelay(this::step, interval, interval, TimeUnit.MILLISECONDS);
    if (!done.await(grace.toMillis(), TimeUnit.MILLISECONDS)) {
      LOG.warn("the drain did not finish within the shutdown grace of {}", grace);
    }
    steps.cancel(false);
    events.accept(new GatewayEvent.InstanceState("stopped", summary()));
  }

  private String summary() {
    return "%d requests cut off, connections unread for at most %d ms"
        .formatted(abortedRequests, longestUnread.toMillis());
  }

  private void begin() {
    events.accept(
        new GatewayEvent.InstanceState("draining", dispatcher.openRequests() + " requests"));
    dispatcher.drain(phases.admission());
    relay.drain();
    accounts.close();
  }

  private void step() {
    try {
      Phase next =
          phases.advance(
              clock.instant(),
              new Outstanding(
                  callerServer.unansweredRequests() + relay.openRequests() + handedOver.taken(),
                  callerServer.isAccepting(),
                  callerServer.usableConnections(),
                  callerServer.openConnections(),
                  accounts.allReturned()));
      longestUnread = phases.longestStepGap();
      if (next != phase) {
        phase = next;
        enter(next);
      }
    } catch (RuntimeException e) {
      // The executor cancels a periodic task that throws. The drain would then stop here, and the
      // process would be killed together with its open answers.
      LOG.error("a step of the drain failed; the following steps still run", e);
    }
  }

  private void enter(Phase next) {
    switch (next) {
      case ACCEPTING, SHORT_ONLY -> {}
      case REFUSING -> dispatcher.refuseAllNotRun();
      case ABORTING -> {
        int open = dispatcher.openRequests() + relay.openRequests();
        dispatcher.abortAll();
        abortedRequests = open + handedOver.abortHandedOver();
      }
      case CLOSING -> callerServer.stopAcceptingAsync();
      case FLUSHING -> callerServer.closeIdleConnections(dispatcher.drainingAnswer());
      case ENDING -> callerServer.closeUnlessAnswering(dispatcher.drainingAnswer());
      case DONE -> done.countDown();
    }
  }
}
