package org.teaseldeal.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.teaseldeal.net.HttpCall;

/** A server of the plain service, with a few places and a short queue. */
final class ModelService implements ModelServer {
  private static final class Running {
    private final ModelRequest request;
    private final Listener listener;
    private boolean over;

    Running(ModelRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }
  }

  private final String name;
  private final VirtualTime time;
  private final Scenario.Services terms;
  private final Deque<Running> waiting = new ArrayDeque<>();
  private final List<Running> running = new ArrayList<>();
  private boolean down;

  ModelService(String name, VirtualTime time, Scenario.Services terms) {
    this.name = name;
    this.time = time;
    this.terms = terms;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public boolean down() {
    return down;
  }

  @Override
  public HttpCall run(ModelRequest request, Listener listener) {
    Running entry = new Running(request, listener);
    if (running.size() >= terms.places() && waiting.size() >= terms.queue()) {
      listener.onFull();
      return () -> {};
    }
    waiting.add(entry);
    startNext();
    return () -> {
      entry.over = true;
      waiting.remove(entry);
    };
  }

  @Override
  public void crash(boolean isDown) {
    down = isDown;
    List<Running> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    for (Running each : lost) {
      if (!each.over) {
        each.over = true;
        each.listener.onBroken();
      }
    }
  }

  private void startNext() {
    while (running.size() < terms.places() && !waiting.isEmpty()) {
      Running next = waiting.remove();
      running.add(next);
      time.afterNanos(next.request.workNanos(), () -> end(next));
    }
  }

  private void end(Running ended) {
    if (!running.remove(ended)) {
      return;
    }
    if (!ended.over) {
      ended.over = true;
      ended.listener.onPart();
      ended.listener.onEnd();
    }
    startNext();
  }
}
