package org.teaseldeal.standin.settings;

/** Thrown if a settings file can't be read or has invalid content. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public SettingsException(String message) {
    super(message);
  }
}
