package org.wigeonwharf.standin.capacity;

/** CapacityMain prints the slopes that docs/CAPACITY.md works with. */
public final class CapacityMain {
  private CapacityMain() {}

  /**
   * Measures and prints.
   *
   * @param args none
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    FleetCost.measureHeartbeats();
    new ScheduleCost().measure();
    FleetCost.measureConfiguration();
    System.exit(0);
  }
}
