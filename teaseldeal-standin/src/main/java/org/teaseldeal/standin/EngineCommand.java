package org.teaseldeal.standin;

import com.beust.jcommander.Parameters;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.standin.admin.AdminHandler;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.engine.EngineFaults;
import org.teaseldeal.standin.engine.EngineHandler;
import org.teaseldeal.standin.engine.EngineSettings;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.Scheduler;
import org.teaseldeal.standin.settings.ListenSettings;
import org.teaseldeal.standin.settings.RegistrationSettings;
import org.teaseldeal.standin.settings.SettingsException;

@Parameters(commandDescription = "Start an inference engine")
final class EngineCommand extends BackendServerCommand {
  private static final int CRASH_EXIT_STATUS = 70;

  @Override
  StandinComponents components(InstantSource clock, Scheduler scheduler) throws SettingsException {
    EngineSettings settings = readSettings(EngineSettings::read);
    ListenSettings listen = settings.listen().withOverrides(host, port, adminPort);
    RegistrationSettings registration =
        settings.registration().withOverrides(platform, id, pool, dataCentre);
    ActiveFaults<EngineFaults> faults = new ActiveFaults<>(settings.faults(), EngineFaults::read);
    History history = new History(clock, MAX_HISTORY_LINES);
    EngineHandler handler =
        new EngineHandler(clock, scheduler, settings, faults, history, EngineCommand::crash);
    return new StandinComponents(
        "engine",
        listen,
        withFaultyAnswers(handler, faults, history),
        new AdminHandler<>(faults, history, handler::describe, Map.of()),
        handler::inFlight,
        Optional.of(registration));
  }

  private static void crash() {
    Runtime.getRuntime().halt(CRASH_EXIT_STATUS);
  }
}
