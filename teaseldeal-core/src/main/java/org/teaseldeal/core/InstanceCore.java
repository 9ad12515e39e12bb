package org.teaseldeal.core;

import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.core.system.InstanceSystems;

/**
 * One entry instance without its sockets.
 *
 * <p>The instance takes events and produces commands. The same events, ticks, clock readings and
 * random numbers produce the same commands. Not thread-safe: one thread makes all calls. Call
 * {@link #tick()} every few milliseconds and after each batch of events, then carry out the result
 * of {@link #drainCommands()} in order.
 */
public final class InstanceCore {
  private final InstanceSystems systems;

  /** Creates an instance with the standard policies. */
  public InstanceCore(InstanceConfig config, InstantSource clock, RandomGenerator random) {
    this(config, InstancePolicies.standard(), clock, random);
  }

  /** Creates an instance with the given policies instead of the standard ones. */
  public InstanceCore(
      InstanceConfig config,
      InstancePolicies policies,
      InstantSource clock,
      RandomGenerator random) {
    this.systems = new InstanceSystems(config, policies, clock, random);
  }

  /**
   * Processes one event. Some of the resulting commands are only produced by the next {@link
   * #tick()}.
   */
  public void handle(InstanceEvent event) {
    systems.handle(event);
  }

  /** Runs every system once, in a fixed order. */
  public void tick() {
    systems.tick();
  }

  /**
   * Returns and clears the commands produced since the last call, in the order in which to carry
   * them out.
   */
  public List<InstanceCommand> drainCommands() {
    return systems.drainCommands();
  }

  /**
   * Returns whether new requests are accepted: the settings and the ledger are read up to date and
   * the instance isn't draining.
   */
  public boolean ready() {
    return systems.ready();
  }

  /** Returns the position up to which each stream of the ledger has been read. */
  public List<InstanceDump.Stream> streams() {
    return systems.streams();
  }

  /** Returns the highest revision of the settings in force at this instance. */
  public long settingsRevision() {
    return systems.settingsRevision();
  }

  /** Returns a copy of all tables, without bearer tokens and prompts. */
  public InstanceDump dump() {
    return systems.dump();
  }

  /** Returns the live counters of the instance. */
  public CoreCounters counters() {
    return systems.counters();
  }
}
