package org.teaseldeal.standin.fault;

import org.teaseldeal.settings.toml.TomlReader;

/** Reads fault settings from a table; keys that it lacks have their value in {@code defaults}. */
@FunctionalInterface
public interface FaultReader<F extends Record & FaultSettings> {
  F read(TomlReader table, F defaults);
}
