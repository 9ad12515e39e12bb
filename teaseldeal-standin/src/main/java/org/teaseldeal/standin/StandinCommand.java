package org.teaseldeal.standin;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Locale;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.fault.FaultyAnswers;
import org.teaseldeal.standin.runtime.Scheduler;
import org.teaseldeal.standin.settings.SettingsException;
import org.teaseldeal.standin.settings.SettingsFile;

/** The options of every command; they override the settings file. */
abstract class StandinCommand extends Command {
  static final int MAX_HISTORY_LINES = 100_000;

  @Parameter(
      names = "--settings",
      description = "TOML file; keys that it lacks have their defaults")
  @Nullable Path settings;

  @Parameter(names = "--host", description = "IP address to listen on")
  @Nullable String host;

  @Parameter(names = "--port", description = "Port to listen on; 0 lets the system choose")
  @Nullable Integer port;

  @Parameter(
      names = "--admin-port",
      description = "Port of the admin address: faults, history, counters")
  @Nullable Integer adminPort;

  @Override
  protected final ExitStatus run(PrintStream out, PrintStream err) throws CommandException {
    try {
      StandinProcess.start(this, out);
      return ExitStatus.OK;
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitStatus.WRONG_COMMAND_LINE, String.valueOf(e.getMessage()));
    } catch (SettingsException e) {
      throw new CommandException(ExitStatus.WRONG_FILE, String.valueOf(e.getMessage()));
    } catch (IOException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, String.valueOf(e.getMessage()));
    }
  }

  /** Reads the settings and creates the stand-in's components. */
  abstract StandinComponents components(InstantSource clock, Scheduler scheduler)
      throws SettingsException;

  /** Applies the fault settings for answers to {@code handler}; records broken off answers. */
  static HttpHandler withFaultyAnswers(
      HttpHandler handler, ActiveFaults<?> faults, History history) {
    return new FaultyAnswers(
        handler,
        faults,
        (request, framing, bytes, reset) ->
            history.add(
                "broken-off",
                line ->
                    line.put("request", request)
                        .put("framing", framing.name().toLowerCase(Locale.ROOT))
                        .put("bytes", bytes)
                        .put("reset", reset)));
  }

  final <T> T readSettings(Function<TomlReader, T> reader) throws SettingsException {
    return settings == null ? SettingsFile.defaults(reader) : SettingsFile.read(settings, reader);
  }
}
