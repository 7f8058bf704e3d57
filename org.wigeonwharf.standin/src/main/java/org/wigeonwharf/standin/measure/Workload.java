package org.wigeonwharf.standin.measure;

import java.util.List;

/**
 * Describes the mix of requests that one user offers.
 *
 * @param user short name of the user, also the name of its configuration folder under {@code
 *     measure}
 * @param service name of the model service
 * @param classes the service classes and their shares of the load
 */
record Workload(String user, String service, List<ClassLoad> classes) {
  private static final double NARROW_SIGMA = 0.5;
  private static final double WIDE_SIGMA = 1.0;

  /**
   * Describes the share of one service class in the offered load.
   *
   * @param name name of the class
   * @param slotTimeShare share of the offered slot time, 0 to 1
   * @param medianTokens median output length in tokens
   * @param sigma standard deviation of the logarithm of the output length, which is log-normal
   * @param prefillMillis prefill time in milliseconds
   * @param longOutput true for long outputs, behind which other requests should not have to wait
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
