package org.wigeonwharf.standin.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Measures CPU time of the calling thread and heap use after garbage collection. */
final class Meter {
  private static final ThreadMXBean THREAD_MX_BEAN = ManagementFactory.getThreadMXBean();
  private static final int GC_RUNS = 3;
  private static final double NANOS_PER_MICRO = 1_000;

  private Meter() {}

  /** Runs a task many times and returns the mean CPU time per run, in microseconds. */
  static double cpuMicros(int iterations, Runnable task) {
    long start = THREAD_MX_BEAN.getCurrentThreadCpuTime();
    for (int i = 0; i < iterations; i++) {
      task.run();
    }
    return (THREAD_MX_BEAN.getCurrentThreadCpuTime() - start) / NANOS_PER_MICRO / iterations;
  }

  /** Returns the heap in use after garbage collection, in bytes. */
  static long liveHeapBytes() {
    Runtime r = Runtime.getRuntime();
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    return r.totalMemory() - r.freeMemory();
  }

  static void print(String name, double value, String unit) {
    System.out.printf("%-62s %12.1f %s%n", name, value, unit);
  }
}
