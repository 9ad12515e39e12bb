package org.teaseldeal.standin;

import java.util.Optional;
import java.util.function.IntSupplier;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.standin.settings.ListenSettings;
import org.teaseldeal.standin.settings.RegistrationSettings;

/**
 * The components of a stand-in, apart from its network listeners.
 *
 * @param role the role under which the platform lists the stand-in
 * @param handler handles requests to the stand-in's own address
 * @param adminHandler handles requests to the admin address
 * @param inFlight returns the number of requests in flight, which a leaving server waits for
 * @param registration the settings of the registration; empty for the platform itself
 */
record StandinComponents(
    String role,
    ListenSettings listen,
    HttpHandler handler,
    HttpHandler adminHandler,
    IntSupplier inFlight,
    Optional<RegistrationSettings> registration) {}
