package org.teaseldeal.standin;

import com.beust.jcommander.Parameters;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.standin.admin.AdminHandler;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.Scheduler;
import org.teaseldeal.standin.service.PlainServiceHandler;
import org.teaseldeal.standin.service.PlainServiceSettings;
import org.teaseldeal.standin.service.ServiceFaults;
import org.teaseldeal.standin.settings.ListenSettings;
import org.teaseldeal.standin.settings.RegistrationSettings;
import org.teaseldeal.standin.settings.SettingsException;

@Parameters(commandDescription = "Start a plain service whose calls must not be repeated")
final class ServiceCommand extends BackendServerCommand {
  @Override
  StandinComponents components(InstantSource clock, Scheduler scheduler) throws SettingsException {
    PlainServiceSettings settings = readSettings(PlainServiceSettings::read);
    ListenSettings listen = settings.listen().withOverrides(host, port, adminPort);
    RegistrationSettings registration =
        settings.registration().withOverrides(platform, id, pool, dataCentre);
    ActiveFaults<ServiceFaults> faults = new ActiveFaults<>(settings.faults(), ServiceFaults::read);
    History history = new History(clock, MAX_HISTORY_LINES);
    PlainServiceHandler handler = new PlainServiceHandler(scheduler, settings, faults, history);
    return new StandinComponents(
        "service",
        listen,
        withFaultyAnswers(handler, faults, history),
        new AdminHandler<>(
            faults,
            history,
            stats -> stats.put("running", handler.inFlight()),
            Map.of("ran", handler::describeRuns)),
        handler::inFlight,
        Optional.of(registration));
  }
}
