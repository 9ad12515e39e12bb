package org.teaseldeal.router.settings;

import java.util.Optional;

/**
 * The address on which the router listens for callers, for other instances or for operators.
 *
 * @param host the IP address to listen on
 * @param port the port to listen on; zero lets the operating system choose one
 * @param advertised the {@code host:port} that is announced to clients, if it differs from the one
 *     that the router listens on
 */
public record ListenSettings(String host, int port, Optional<String> advertised) {}
