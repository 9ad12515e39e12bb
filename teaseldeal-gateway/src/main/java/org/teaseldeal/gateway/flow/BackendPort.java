package org.teaseldeal.gateway.flow;

import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpListener;

/** Sends requests to backend servers, each once. */
@FunctionalInterface
public interface BackendPort {
  /** Sends a request; {@code listener} is told what comes of it. */
  HttpCall send(HttpCallRequest request, HttpListener listener);
}
