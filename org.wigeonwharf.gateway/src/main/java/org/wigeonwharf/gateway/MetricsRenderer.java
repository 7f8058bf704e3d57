package org.wigeonwharf.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Renders metrics in the Prometheus text exposition format. */
final class MetricsRenderer {
  private static final String PREFIX = "wigeonwharf_";
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry metrics;

  MetricsRenderer(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /**
   * Renders all metrics.
   *
   * @param gauges current values by name, in addition to the registry's metrics
   * @return the text, one metric per line; times are in milliseconds
   */
  String render(Map<String, Number> gauges) {
    StringBuilder text = new StringBuilder();
    gauges.forEach((name, value) -> appendLine(text, name, "", value));
    metrics
        .getGauges((name, metric) -> metric instanceof Gauge<?> g && g.getValue() instanceof Number)
        .forEach((name, g) -> appendLine(text, name, "", (Number) g.getValue()));
    metrics.getCounters().forEach((name, c) -> appendLine(text, name + "_total", "", c.getCount()));
    metrics
        .getTimers()
        .forEach(
            (name, t) -> {
              Snapshot s = t.getSnapshot();
              for (double q : QUANTILES) {
                appendLine(text, name + "_ms", "{quantile=\"" + q + "\"}", toMillis(s.getValue(q)));
              }
              appendLine(text, name + "_ms_count", "", t.getCount());
            });
    metrics
        .getHistograms()
        .forEach(
            (name, h) -> {
              Snapshot s = h.getSnapshot();
              for (double q : QUANTILES) {
                appendLine(text, name, "{quantile=\"" + q + "\"}", s.getValue(q));
              }
              appendLine(text, name + "_count", "", h.getCount());
            });
    return text.toString();
  }

  private static double toMillis(double nanos) {
    return nanos / TimeUnit.MILLISECONDS.toNanos(1);
  }

  /**
   * Appends one line. The registry has no labels, so its metrics may carry them in braces within
   * the name.
   */
  private static void appendLine(StringBuilder text, String name, String labels, Number value) {
    int open = name.indexOf('{');
    int close = name.indexOf('}') + 1;
    String baseName = open < 0 ? name : name.substring(0, open) + name.substring(close);
    String nameLabels = open < 0 ? "" : name.substring(open, close);
    text.append(PREFIX)
        .append(baseName.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]", "_"))
        .append(nameLabels)
        .append(labels)
        .append(' ')
        .append(value)
        .append('\n');
  }
}
