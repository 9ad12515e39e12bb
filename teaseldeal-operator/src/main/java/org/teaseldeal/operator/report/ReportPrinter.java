package org.teaseldeal.operator.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Renders reports as JSON. */
public final class ReportPrinter {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(SerializationFeature.INDENT_OUTPUT)
          .build();

  private ReportPrinter() {}

  /** Returns the report as indented JSON. */
  public static String json(Report report) {
    try {
      return MAPPER.writeValueAsString(report);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("Could not write " + report.getClass() + " as JSON", e);
    }
  }
}
