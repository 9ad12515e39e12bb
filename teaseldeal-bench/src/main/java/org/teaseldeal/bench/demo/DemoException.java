package org.teaseldeal.bench.demo;

/** Thrown when the demo cannot continue. */
public final class DemoException extends Exception {
  private static final long serialVersionUID = 1L;

  DemoException(String message) {
    super(message);
  }
}
