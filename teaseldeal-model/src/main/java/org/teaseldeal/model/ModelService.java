package org.teaseldeal.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.teaseldeal.net.HttpCall;

/** A simulated server of the plain service, with few concurrent requests and a short queue. */
final class ModelService implements ModelServer {
  private static final class ActiveRequest {
    private final ModelRequest request;
    private final Listener listener;
    private boolean ended;

    ActiveRequest(ModelRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }
  }

  private final String name;
  private final VirtualTime time;
  private final Scenario.Services settings;
  private final Deque<ActiveRequest> waiting = new ArrayDeque<>();
  private final List<ActiveRequest> running = new ArrayList<>();
  private boolean down;

  ModelService(String name, VirtualTime time, Scenario.Services settings) {
    this.name = name;
    this.time = time;
    this.settings = settings;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public boolean isDown() {
    return down;
  }

  @Override
  public HttpCall run(ModelRequest request, int eventsBefore, Listener listener) {
    ActiveRequest entry = new ActiveRequest(request, listener);
    if (running.size() >= settings.maxConcurrentRequests() && waiting.size() >= settings.queue()) {
      listener.onQueueFull();
      return () -> {};
    }
    waiting.add(entry);
    startNext();
    return () -> {
      entry.ended = true;
      waiting.remove(entry);
    };
  }

  @Override
  public void setDown(boolean newDown) {
    down = newDown;
    List<ActiveRequest> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    for (ActiveRequest entry : lost) {
      if (!entry.ended) {
        entry.ended = true;
        entry.listener.onCrash();
      }
    }
  }

  private void startNext() {
    while (running.size() < settings.maxConcurrentRequests() && !waiting.isEmpty()) {
      ActiveRequest next = waiting.remove();
      running.add(next);
      time.scheduleNanos(next.request.workNanos(), () -> complete(next));
    }
  }

  private void complete(ActiveRequest entry) {
    if (!running.remove(entry)) {
      return;
    }
    if (!entry.ended) {
      entry.ended = true;
      entry.listener.onBodyPart();
      entry.listener.onEnd();
    }
    startNext();
  }
}
