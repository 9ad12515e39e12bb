package org.teaseldeal.router.admin;

import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import java.util.SortedMap;
import java.util.TreeMap;
import org.teaseldeal.metrics.PrometheusText;

/** The process's metrics as Prometheus text. */
public final class MetricsText {
  static final String CONTENT_TYPE = PrometheusText.CONTENT_TYPE;

  private final MetricRegistry metrics;
  private final PrometheusText text;
  private volatile SortedMap<String, Long> coreCounters = new TreeMap<>();

  /** Creates a view of {@code metrics}, to which those of the virtual machine are added. */
  public MetricsText(MetricRegistry metrics) {
    this.metrics = metrics;
    metrics.register("jvm_memory", new MemoryUsageGaugeSet());
    metrics.register("jvm_gc", new GarbageCollectorMetricSet());
    text = new PrometheusText(metrics);
  }

  /** Writes all metrics, with the core's counters as they are given. */
  byte[] write(SortedMap<String, Long> counters) {
    coreCounters = counters;
    counters.keySet().forEach(this::registerCounter);
    return text.write();
  }

  private void registerCounter(String name) {
    Metric unused = metrics.gauge("core_" + name, () -> () -> coreCounters.getOrDefault(name, 0L));
  }
}
