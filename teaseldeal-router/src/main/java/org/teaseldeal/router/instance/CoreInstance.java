package org.teaseldeal.router.instance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import org.teaseldeal.core.InstanceConfig;
import org.teaseldeal.core.InstanceCore;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.ledger.StreamId;

/** Adapts an {@link InstanceCore} to the interface that the router uses. */
public final class CoreInstance implements Instance {
  private final InstanceConfig config;
  private final InstanceCore core;

  /** Wraps {@code core}, which was created from {@code config}. */
  public CoreInstance(InstanceConfig config, InstanceCore core) {
    this.config = config;
    this.core = core;
  }

  @Override
  public void handle(InstanceEvent event) {
    core.handle(event);
  }

  @Override
  public void tick() {
    core.tick();
  }

  @Override
  public List<InstanceCommand> drainCommands() {
    return core.drainCommands();
  }

  @Override
  public boolean ready() {
    return core.ready();
  }

  @Override
  public Readiness readiness() {
    Map<String, Long> foldedTo = new HashMap<>();
    core.streams()
        .forEach(stream -> foldedTo.put(new StreamId(stream.index()).logName(), stream.foldedTo()));
    return new Readiness(
        core.ready(),
        core.ready() ? "" : core.dump().readiness(),
        config.instance().name(),
        config.incarnation().value(),
        foldedTo);
  }

  @Override
  public Object dump() {
    return core.dump();
  }

  @Override
  public SortedMap<String, Long> counters() {
    return core.counters().values();
  }
}
