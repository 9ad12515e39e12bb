package org.teaseldeal.metrics;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the metrics of a registry in the Prometheus text format. */
public final class PrometheusText {
  /** The media type of the text. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private final PrometheusRegistry prometheus = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  /** Creates a writer for the metrics of {@code metrics}. */
  public PrometheusText(MetricRegistry metrics) {
    prometheus.register(new DropwizardExports(metrics));
  }

  /** Writes the current values of all metrics. */
  public byte[] write() {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      writer.write(text, prometheus.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toByteArray();
  }
}
