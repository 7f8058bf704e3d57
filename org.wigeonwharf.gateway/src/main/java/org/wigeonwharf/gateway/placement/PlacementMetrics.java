package org.wigeonwharf.gateway.placement;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/** Records how choices are made and how evenly servers are loaded, as far as this router knows. */
public final class PlacementMetrics {
  private final Histogram candidates;
  private final Histogram utilization;
  private final Histogram loadVariation;
  private final Counter fullScans;

  /**
   * Creates an instance.
   *
   * @param metrics receives the values
   */
  public PlacementMetrics(MetricRegistry metrics) {
    this.candidates = metrics.histogram("placement.candidates");
    this.utilization = metrics.histogram("placement.chosen_utilization_percent");
    this.loadVariation = metrics.histogram("placement.load_variation_percent");
    this.fullScans = metrics.counter("placement.full_scans");
  }

  /** Records the number of servers that were considered together. */
  void recordCandidates(int count) {
    candidates.update(count);
  }

  /** Records that all servers were considered because none of the drawn ones would do. */
  void recordFullScan() {
    fullScans.inc();
  }

  /** Records the load of a chosen server, in requests, against its slots. */
  void recordChosen(Candidate c) {
    utilization.update(100 * c.load() / Math.max(1, c.server().slots()));
  }

  /**
   * Records the spread of the known load over the servers of a service.
   *
   * @param sum the sum of the servers' loads, in requests
   * @param sumOfSquares the sum of the squared loads
   * @param count the number of servers
   */
  void recordLoads(double sum, double sumOfSquares, int count) {
    if (sum > 0) {
      double mean = sum / count;
      double variance = Math.max(0, sumOfSquares / count - mean * mean);
      loadVariation.update(Math.round(100 * Math.sqrt(variance) / mean));
    }
  }
}
