package org.wigeonwharf.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A MetricsText renders metrics in the text exposition format. */
final class MetricsText {
  private static final String PREFIX = "wigeonwharf_";
  private static final double[] QUANTILES = {0.5, 0.95, 0.99};

  private final MetricRegistry metrics;

  MetricsText(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /**
   * Renders all metrics.
   *
   * @param gauges values of this moment, by name
   * @return one metric a line; times in milliseconds
   */
  String render(Map<String, Number> gauges) {
    StringBuilder text = new StringBuilder();
    gauges.forEach((name, value) -> line(text, name, "", value));
    metrics
        .getGauges((name, metric) -> metric instanceof Gauge<?> g && g.getValue() instanceof Number)
        .forEach((name, g) -> line(text, name, "", (Number) g.getValue()));
    metrics.getCounters().forEach((name, c) -> line(text, name + "_total", "", c.getCount()));
    metrics
        .getTimers()
        .forEach(
            (name, t) -> {
              Snapshot s = t.getSnapshot();
              for (double q : QUANTILES) {
                line(text, name + "_ms", "{quantile=\"" + q + "\"}", millis(s.getValue(q)));
              }
              line(text, name + "_ms_count", "", t.getCount());
            });
    return text.toString();
  }

  private static double millis(double nanos) {
    return nanos / TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Writes one line; labels may also stand at the end of the name, in braces. */
  private static void line(StringBuilder text, String fullName, String labels, Number value) {
    int brace = fullName.indexOf('{');
    if (brace >= 0) {
      String unit = fullName.substring(fullName.indexOf('}') + 1);
      String own = fullName.substring(brace, fullName.indexOf('}') + 1);
      line(text, fullName.substring(0, brace) + unit, own, value);
      return;
    }
    String name = fullName;
    text.append(PREFIX)
        .append(name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]", "_"))
        .append(labels)
        .append(' ')
        .append(value)
        .append('\n');
  }
}
