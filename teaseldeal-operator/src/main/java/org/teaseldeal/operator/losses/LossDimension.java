package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.time.Instant;
import java.util.function.BiFunction;

/** The attribute of a request by which a loss report is divided into columns. */
public enum LossDimension {
  KIND((request, start) -> request.kind().isEmpty() ? "not known" : request.kind()),
  CUSTOMER((request, start) -> request.customer().isEmpty() ? "none" : request.customer()),
  SECOND(
      (request, start) -> "%3d".formatted(Duration.between(start, request.arrived()).toSeconds())),
  DATA_CENTRE((request, start) -> request.dataCentre()),
  INSTANCE((request, start) -> request.instance());

  private final BiFunction<AttemptRecord, Instant, String> column;

  LossDimension(BiFunction<AttemptRecord, Instant, String> column) {
    this.column = column;
  }

  /** Returns the column of a request; {@link #SECOND} counts from {@code start}. */
  String column(AttemptRecord request, Instant start) {
    return column.apply(request, start);
  }
}
