package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;

/** The options that every command has. */
public final class CommonOptions {
  @Parameter(names = "--json", description = "Print JSON for programs instead of text")
  boolean json;

  @Parameter(names = "--help", description = "Print this help", help = true)
  boolean help;

  /** Returns whether to print the report as JSON. */
  public boolean json() {
    return json;
  }

  /** Returns whether to print the help instead of running the command. */
  public boolean help() {
    return help;
  }
}
