package org.teaseldeal.gateway.path;

import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpListener;

/** Sends requests to backend servers, each request once. */
@FunctionalInterface
public interface BackendPort {
  /** Sends a request and reports its answer or failure to {@code listener}. */
  HttpCall send(HttpCallRequest request, HttpListener listener);
}
