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
    FleetCost.heartbeats();
    new ScheduleCost().measure();
    FleetCost.configuration();
    System.exit(0);
  }
}
