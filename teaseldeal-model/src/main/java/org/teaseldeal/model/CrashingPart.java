package org.teaseldeal.model;

import java.time.Duration;

/**
 * A part of a prompt that crashes each engine that begins to answer a request with it.
 *
 * @param id the id of the part
 * @param position where it stands in the prompt
 * @param eventsBeforeCrash the events of the answer that are sent before the engine crashes
 * @param downtime how long a crashed engine is down
 */
record CrashingPart(
    String id, Scenario.PartPosition position, int eventsBeforeCrash, Duration downtime) {}
