package org.teaseldeal.router.admin;

import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import java.util.SortedMap;
import java.util.TreeMap;
import org.teaseldeal.metrics.PrometheusText;

/** Writes the metrics of this process in the Prometheus text format. */
public final class MetricsText {
  static final String CONTENT_TYPE = PrometheusText.CONTENT_TYPE;

  private final MetricRegistry metrics;
  private final PrometheusText text;
  private volatile SortedMap<String, Long> coreCounters = new TreeMap<>();

  /** Creates a writer for {@code metrics}, and adds the metrics of the virtual machine to them. */
  public MetricsText(MetricRegistry metrics) {
    this.metrics = metrics;
    metrics.register("jvm_memory", new MemoryUsageGaugeSet());
    metrics.register("jvm_gc", new GarbageCollectorMetricSet());
    text = new PrometheusText(metrics);
  }

  /**
   * Writes all metrics, including {@code counters}, the current counters of the instance's core.
   */
  byte[] write(SortedMap<String, Long> counters) {
    coreCounters = counters;
    counters.keySet().forEach(this::registerCounter);
    return text.write();
  }

  private void registerCounter(String name) {
    Metric unused = metrics.gauge("core_" + name, () -> () -> coreCounters.getOrDefault(name, 0L));
  }
}
