package org.wigeonwharf.standin.capacity;

/** Measures the cost per unit of load on which docs/CAPACITY.md bases its estimates. */
public final class CapacityMain {
  private CapacityMain() {}

  /**
   * Runs all measurements and prints one line for each figure.
   *
   * @param args not used
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public static void main(String[] args) throws InterruptedException {
    FleetCost.measureHeartbeats();
    new ScheduleCost().measure();
    FleetCost.measureConfiguration();
    System.exit(0);
  }
}
