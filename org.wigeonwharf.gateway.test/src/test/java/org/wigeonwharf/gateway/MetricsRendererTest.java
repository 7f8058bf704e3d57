package org.wigeonwharf.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against lines that a metrics scraper can't parse, such as labels within a name. */
class MetricsRendererTest {
  private final MetricRegistry metrics = new MetricRegistry();

  private List<String> lines() {
    return new MetricsRenderer(metrics).render(Map.of("peers.known", 7)).lines().toList();
  }

  @Test
  void labelsFollowTheNameSuffix() {
    metrics.counter("requests{route=\"r1\",outcome=\"answered\"}").inc(3);
    assertTrue(
        lines().contains("wigeonwharf_requests_total{route=\"r1\",outcome=\"answered\"} 3"),
        lines().toString());
  }

  @Test
  void rendersGivenAndRegisteredGauges() {
    metrics.registerGauge("gc.time_ms", (Gauge<Long>) () -> 12L);
    metrics.registerGauge("text", (Gauge<String>) () -> "not a number");
    assertEquals(List.of("wigeonwharf_peers_known 7", "wigeonwharf_gc_time_ms 12"), lines());
  }

  @Test
  void rendersTimersAsQuantilesInMilliseconds() {
    metrics.timer("request.time").update(250, TimeUnit.MILLISECONDS);
    assertTrue(lines().contains("wigeonwharf_request_time_ms{quantile=\"0.5\"} 250.0"));
    assertTrue(lines().contains("wigeonwharf_request_time_ms_count 1"));
  }
}
