package org.teaseldeal.operator.report;

/**
 * The output of a command.
 *
 * <p>Implementations are records. Their components become the fields of the JSON output, in snake
 * case.
 */
public interface Report {
  /** Returns the report as text for people, without a line break at its end. */
  String text();
}
