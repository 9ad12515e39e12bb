package org.teaseldeal.router.fake;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.router.instance.Instance;
import org.teaseldeal.router.instance.Readiness;

/** An instance that records the events it receives and issues the commands that a test adds. */
public final class FakeInstance implements Instance {
  private final BlockingQueue<InstanceEvent> events = new LinkedBlockingQueue<>();
  private final ConcurrentLinkedQueue<InstanceCommand> commands = new ConcurrentLinkedQueue<>();
  private volatile boolean ready = true;

  /** Issues {@code command} at the next tick. */
  public void issue(InstanceCommand command) {
    commands.add(command);
  }

  public void setReady(boolean value) {
    ready = value;
  }

  /**
   * Waits for the next event of {@code type}, discarding events of other types; fails if none
   * arrives within 20 seconds.
   */
  public <T extends InstanceEvent> T awaitEvent(Class<T> type) throws InterruptedException {
    while (true) {
      InstanceEvent event = events.poll(20, TimeUnit.SECONDS);
      if (event == null) {
        throw new AssertionError("no event of type " + type.getSimpleName());
      }
      if (type.isInstance(event)) {
        return type.cast(event);
      }
    }
  }

  /**
   * Returns whether an event of {@code type} was received that {@link #awaitEvent} has not returned
   * yet.
   */
  public boolean hasEvent(Class<? extends InstanceEvent> type) {
    return events.stream().anyMatch(type::isInstance);
  }

  @Override
  public void handle(InstanceEvent event) {
    events.add(event);
  }

  @Override
  public void tick() {}

  @Override
  public List<InstanceCommand> drainCommands() {
    List<InstanceCommand> drained = List.copyOf(commands);
    commands.removeAll(drained);
    return drained;
  }

  @Override
  public boolean ready() {
    return ready;
  }

  @Override
  public Readiness readiness() {
    return new Readiness(
        ready, ready ? "" : "why", "r1", "r1.x", Map.of("teaseldeal-ledger-0", 12L));
  }

  @Override
  public Object dump() {
    return Map.of("instance", "r1");
  }

  @Override
  public SortedMap<String, Long> counters() {
    return new TreeMap<>(Map.of("calls", 7L));
  }
}
