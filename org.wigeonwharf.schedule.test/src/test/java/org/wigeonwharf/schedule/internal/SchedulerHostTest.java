package org.wigeonwharf.schedule.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks the timeouts of a scheduler host.
 *
 * <p>A scheduler that grants before its membership view or the registrations are complete leases
 * slots that are in use; one that waits for a paused or failed router without limit never grants.
 */
class SchedulerHostTest {
  private final SimulatedFleet fleet = new SimulatedFleet(5);

  @Test
  void pausedProcessHasNoRoleDuringPauseRecovery() {
    SimulatedRouter r = fleet.start("vm0", true);
    fleet.runFor(1_000);
    r.host.handlePause();
    r.applyView();
    assertTrue(r.host.schedulers().isEmpty());
    fleet.runFor(250);
    assertTrue(r.host.schedulers().isEmpty());
    fleet.runFor(100);
    assertFalse(r.host.schedulers().isEmpty());
  }

  @Test
  void newSchedulerGrantsAfterRegistrationTimeoutDespitePausedRouter() {
    SimulatedRouter a = fleet.start("vm0", true);
    SimulatedRouter b = fleet.start("vm1", true);
    fleet.runFor(1_000);
    final int roles = a.host.schedulers().size();
    assertTrue(roles > 0);
    fleet.pause(b);
    a.host.handlePause();
    SimulatedRouter.Call first = a.acquire(0);
    SimulatedRouter.Call second = a.acquire(1);
    fleet.runFor(780);
    assertEquals(roles, a.host.schedulers().size());
    assertEquals(0, first.granted + second.granted);
    fleet.runFor(100);
    assertEquals(roles, first.granted + second.granted);
  }

  @Test
  void leasesOfFailedRouterExpireAfterTimeout() {
    SimulatedRouter a = fleet.start("vm0", true);
    SimulatedRouter b = fleet.start("vm1", true);
    fleet.runFor(1_000);
    for (int i = 0; i < 2 * SimulatedFleet.SLOTS; i++) {
      a.acquire(0);
      b.acquire(0);
    }
    fleet.runFor(20);
    fleet.kill(a);
    fleet.runFor(2_000);
    int leasedBefore = b.host.schedulers().values().stream().mapToInt(s -> s.leased()).sum();
    fleet.runFor(3_000);
    int leasedAfter = b.host.schedulers().values().stream().mapToInt(s -> s.leased()).sum();
    assertTrue(leasedBefore >= leasedAfter);
    assertEquals(0, leasedAfter);
    assertTrue(b.calls.values().stream().allMatch(c -> c.granted == 1));
  }
}
