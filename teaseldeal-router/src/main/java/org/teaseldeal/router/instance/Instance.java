package org.teaseldeal.router.instance;

import java.util.List;
import java.util.SortedMap;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;

/** The operations of an instance's core that the router uses. Not thread-safe. */
public interface Instance {
  /** Handles one event. */
  void handle(InstanceEvent event);

  /** Runs every system of the core once. */
  void tick();

  /** Removes and returns the commands issued since the last call, in their order of execution. */
  List<InstanceCommand> drainCommands();

  /** Returns whether the instance accepts new requests. */
  boolean ready();

  /**
   * Returns whether the instance accepts new requests, and how far it has read the log's streams.
   */
  Readiness readiness();

  /** Returns a copy of every table of the core, as a record that can be written as JSON. */
  Object dump();

  /** Returns the counters by name. */
  SortedMap<String, Long> counters();
}
