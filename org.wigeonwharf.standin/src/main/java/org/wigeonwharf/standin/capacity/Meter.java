package org.wigeonwharf.standin.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Meter reads CPU time of the calling thread and the live heap. */
final class Meter {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int COLLECTIONS = 3;
  private static final double NANOS_PER_MICRO = 1_000;

  private Meter() {}

  /** Runs a task many times and returns its CPU time each, in microseconds. */
  static double cpuMicros(int times, Runnable task) {
    long start = THREADS.getCurrentThreadCpuTime();
    for (int i = 0; i < times; i++) {
      task.run();
    }
    return (THREADS.getCurrentThreadCpuTime() - start) / NANOS_PER_MICRO / times;
  }

  /** Returns the bytes of heap in use after collections. */
  static long liveHeapBytes() {
    Runtime r = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return r.totalMemory() - r.freeMemory();
  }

  static void print(String what, double value, String unit) {
    System.out.printf("%-62s %12.1f %s%n", what, value, unit);
  }
}
