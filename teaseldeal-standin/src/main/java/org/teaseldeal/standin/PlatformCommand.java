package org.teaseldeal.standin;

import com.beust.jcommander.Parameters;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.standin.admin.AdminHandler;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.platform.PlatformFaults;
import org.teaseldeal.standin.platform.PlatformHandler;
import org.teaseldeal.standin.platform.PlatformSettings;
import org.teaseldeal.standin.runtime.Scheduler;
import org.teaseldeal.standin.settings.ListenSettings;
import org.teaseldeal.standin.settings.SettingsException;

@Parameters(commandDescription = "Start the platform: log, instance list, weight store")
final class PlatformCommand extends StandinCommand {
  @Override
  StandinComponents components(InstantSource clock, Scheduler scheduler) throws SettingsException {
    PlatformSettings settings = readSettings(PlatformSettings::read);
    ListenSettings listen = settings.listen().withOverrides(host, port, adminPort);
    ActiveFaults<PlatformFaults> faults =
        new ActiveFaults<>(settings.faults(), PlatformFaults::read);
    History history = new History(clock, MAX_HISTORY_LINES);
    PlatformHandler handler = new PlatformHandler(clock, scheduler, settings, faults, history);
    return new StandinComponents(
        "platform",
        listen,
        withFaultyAnswers(handler, faults, history),
        new AdminHandler<>(faults, history, handler::describe, Map.of()),
        () -> 0,
        Optional.empty());
  }
}
