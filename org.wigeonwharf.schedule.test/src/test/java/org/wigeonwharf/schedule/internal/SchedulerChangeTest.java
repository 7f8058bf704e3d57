package org.wigeonwharf.schedule.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonwharf.schedule.ShardScheduler;

/**
 * Checks that requests and leases stay consistent across changes of the scheduler.
 *
 * <p>Routers are killed and replaced, paused, partitioned or leave, and messages are lost. A wrong
 * resynchronization would leave a request without an end, a slot occupied for good, or more
 * requests on a backend server than it has slots.
 */
class SchedulerChangeTest {
  private static final long FAULT_PHASE_MILLIS = 20_000;
  private static final long FAULT_FREE_PHASE_MILLIS = 12_000;
  private static final long RECOVERY_MILLIS = 4_000;
  private static final long MAX_WAIT_MILLIS = 6_000;
  private static final int LOCAL_ROUTERS = 4;

  @Property(tries = 150, seed = "4711")
  void everyRequestEndsOnceAndLeasesConvergeAfterFaults(@ForAll long seed) {
    SimulatedFleet fleet = fleet(seed);
    Load load = new Load(fleet, true);
    load.run(FAULT_PHASE_MILLIS);
    healAll(fleet);
    load.run(FAULT_FREE_PHASE_MILLIS);
    load.noMoreRequests = true;
    fleet.runFor(MAX_WAIT_MILLIS);
    for (SimulatedRouter r : fleet.live()) {
      r.calls.values().forEach(c -> assertEquals(1, c.ends(), () -> "ends of " + c.id));
      assertEquals(0, r.client.waiting());
      assertEquals(0, r.client.held());
      for (ShardScheduler s : r.host.schedulers().values()) {
        assertEquals(0, s.waiting(), () -> "waiting requests left at " + r.node());
        assertEquals(0, s.leased(), () -> "leases left at " + r.node());
      }
    }
    assertTrue(
        load.grantsWithoutFaults > 100, () -> "grants without faults " + load.grantsWithoutFaults);
  }

  @Property(tries = 20, seed = "4712")
  void withoutFaultsEveryRequestIsGrantedAndNoServerIsOvercommitted(@ForAll long seed) {
    SimulatedFleet fleet = fleet(seed);
    Load load = new Load(fleet, false);
    load.run(FAULT_FREE_PHASE_MILLIS);
    load.noMoreRequests = true;
    fleet.runFor(MAX_WAIT_MILLIS);
    for (SimulatedRouter r : fleet.live()) {
      r.calls.values().forEach(c -> assertEquals(1, c.ends()));
      assertTrue(r.calls.values().stream().allMatch(c -> c.refused == 0));
    }
  }

  private static SimulatedFleet fleet(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(seed);
    for (int i = 0; i < LOCAL_ROUTERS; i++) {
      fleet.start("vm" + i, true);
    }
    fleet.start("far", false);
    fleet.runFor(1_000);
    return fleet;
  }

  private static void healAll(SimulatedFleet fleet) {
    List<SimulatedRouter> live = fleet.live();
    live.stream().filter(r -> r.paused).forEach(fleet::resume);
    for (SimulatedRouter a : live) {
      live.stream().filter(b -> a != b).forEach(b -> fleet.heal(a, b));
    }
  }

  /** Generates random requests and, optionally, faults. */
  private static final class Load {
    private final SimulatedFleet fleet;
    private final boolean faults;
    private final Random random;
    private boolean noMoreRequests;
    private int replacements;
    private long grantsWithoutFaults;

    Load(SimulatedFleet fleet, boolean faults) {
      this.fleet = fleet;
      this.faults = faults;
      this.random = fleet.random;
    }

    void run(long millis) {
      boolean faultFree = millis == FAULT_FREE_PHASE_MILLIS;
      long before = grants();
      for (long t = 0; t < millis && !noMoreRequests; t += SimulatedFleet.TICK_MILLIS) {
        sendRandomRequest();
        if (faults && !faultFree && random.nextInt(25) == 0) {
          injectFault();
        }
        fleet.runFor(SimulatedFleet.TICK_MILLIS);
        checkSlots();
        checkWaits();
      }
      grantsWithoutFaults = grants() - before;
    }

    private long grants() {
      return fleet.routers.values().stream()
          .flatMap(r -> r.calls.values().stream())
          .mapToLong(c -> c.granted)
          .sum();
    }

    private void sendRandomRequest() {
      SimulatedRouter r = randomRouter();
      if (!r.paused && random.nextInt(100) < 30) {
        SimulatedRouter.Call c = r.acquire(random.nextInt(SimulatedFleet.SERVICES));
        if (random.nextInt(10) == 0) {
          fleet.after(random.nextInt(50), () -> r.runWhenResumed(() -> r.cancel(c)));
        }
      }
    }

    private SimulatedRouter randomRouter() {
      List<SimulatedRouter> live = fleet.live();
      return live.get(random.nextInt(live.size()));
    }

    private void injectFault() {
      SimulatedRouter a = randomRouter();
      SimulatedRouter b = randomRouter();
      switch (random.nextInt(6)) {
        case 0 -> replace(a);
        case 1 -> pause(a);
        case 2 -> leave(a);
        case 3 -> {
          fleet.partition(a, b);
          fleet.after(random.nextInt(3_000), () -> fleet.heal(a, b));
        }
        default -> fleet.dropInFlight(a, b);
      }
    }

    private void replace(SimulatedRouter r) {
      boolean local = r.peer.domain().value().equals("d0");
      fleet.kill(r);
      fleet.after(
          random.nextInt(2_000),
          () -> fleet.start(local ? "vm-new" + replacements++ : "far", local));
    }

    private void pause(SimulatedRouter r) {
      if (!r.paused && fleet.live().stream().noneMatch(o -> o.paused)) {
        fleet.pause(r);
        fleet.after(
            random.nextInt(5_000),
            () -> {
              if (r.paused && !r.dead) {
                fleet.resume(r);
              }
            });
      }
    }

    private void leave(SimulatedRouter r) {
      boolean others =
          fleet.live().stream()
              .anyMatch(o -> o != r && !o.leaving && o.peer.domain().equals(r.peer.domain()));
      if (others && !r.leaving && !r.paused) {
        fleet.leave(r);
        fleet.after(3_000, () -> r.leaving = false);
        fleet.after(3_000, () -> fleet.live().forEach(o -> o.runWhenResumed(o::applyView)));
        fleet.after(3_000, fleet::recordDisturbance);
      }
    }

    private void checkSlots() {
      if (fleet.millis() - fleet.lastDisturbanceMillis > RECOVERY_MILLIS) {
        fleet.inUse.forEach(
            (s, n) ->
                assertTrue(
                    n <= SimulatedFleet.SLOTS,
                    () -> n + " in use on " + s + " at ms " + fleet.millis()));
      }
    }

    private void checkWaits() {
      for (SimulatedRouter r : fleet.live()) {
        if (!r.paused) {
          r.calls.values().stream()
              .filter(c -> c.ends() == 0)
              .forEach(
                  c ->
                      assertTrue(
                          fleet.millis() - c.sinceMillis < MAX_WAIT_MILLIS,
                          () -> c.id + " has waited since " + c.sinceMillis));
        }
      }
    }
  }
}
