package org.wigeonwharf.router.internal;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.function.ToLongFunction;

/** Registers the metrics of the process: heap, garbage collection and dropped log lines. */
public final class ProcessGauges {
  private ProcessGauges() {}

  /**
   * Registers the gauges. They cost nothing until they are read.
   *
   * @param metrics the registry
   */
  public static void register(MetricRegistry metrics) {
    Runtime runtime = Runtime.getRuntime();
    metrics.registerGauge(
        "memory.heap_used_bytes", (Gauge<Long>) () -> runtime.totalMemory() - runtime.freeMemory());
    metrics.registerGauge("memory.heap_max_bytes", (Gauge<Long>) runtime::maxMemory);
    metrics.registerGauge(
        "gc.collections", (Gauge<Long>) () -> sum(GarbageCollectorMXBean::getCollectionCount));
    metrics.registerGauge(
        "gc.time_ms", (Gauge<Long>) () -> sum(GarbageCollectorMXBean::getCollectionTime));
    metrics.registerGauge("log.unread_dropped", (Gauge<Long>) BoundedLogAppender::droppedLines);
  }

  private static long sum(ToLongFunction<GarbageCollectorMXBean> value) {
    return ManagementFactory.getGarbageCollectorMXBeans().stream().mapToLong(value).sum();
  }
}
