package org.wigeonwharf.standin.measure;

import java.util.List;

/**
 * A Workload is one user's mix of work.
 *
 * @param user the user's short name, also the folder of its configuration under {@code measure}
 * @param service the model service
 * @param classes the classes with their part of the work
 */
record Workload(String user, String service, List<ClassLoad> classes) {
  private static final double NARROW_SIGMA = 0.5;
  private static final double WIDE_SIGMA = 1.0;

  /**
   * A ClassLoad is one class's part of the offered work.
   *
   * @param name the class
   * @param slotTimeShare part of the slot time offered, 0 to 1
   * @param medianTokens median output length
   * @param sigma sigma of the log-normal output length
   * @param prefillMillis time before the first token can be made
   * @param longOutput true if other work should not have to wait behind it
   */
  record ClassLoad(
      String name,
      double slotTimeShare,
      int medianTokens,
      double sigma,
      int prefillMillis,
      boolean longOutput) {
    double meanTokens() {
      return medianTokens * Math.exp(sigma * sigma / 2);
    }
  }

  static Workload authority() {
    return new Workload(
        "authority",
        "assistant",
        List.of(
            new ClassLoad("crew-question", 0.20, 60, NARROW_SIGMA, 120, false),
            new ClassLoad("venue-note", 0.15, 150, NARROW_SIGMA, 150, false),
            new ClassLoad("condition-report", 0.50, 900, WIDE_SIGMA, 600, true),
            new ClassLoad("swatch-label", 0.15, 12, NARROW_SIGMA, 200, false)));
  }

  static Workload liitto() {
    return new Workload(
        "liitto",
        "advice",
        List.of(
            new ClassLoad("bench-question", 0.20, 80, NARROW_SIGMA, 120, false),
            new ClassLoad("safety-check", 0.20, 40, NARROW_SIGMA, 200, false),
            new ClassLoad("wiring-plan", 0.50, 1_100, WIDE_SIGMA, 800, true),
            new ClassLoad("order-note", 0.10, 30, NARROW_SIGMA, 100, false)));
  }
}
