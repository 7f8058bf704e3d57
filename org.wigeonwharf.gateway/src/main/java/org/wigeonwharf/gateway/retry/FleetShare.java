package org.wigeonwharf.gateway.retry;

import java.util.function.IntSupplier;
import org.wigeonwharf.model.Clock;

/**
 * Determines this router's share of an amount that the whole fleet may use.
 *
 * <p>No router knows the size of the fleet exactly: some may have just started, others may be
 * unreachable or may use up a share and restart within the same time. The shares of the routers
 * that know each other therefore add up to half of the amount at most, and the share never grows
 * again after a larger fleet was seen. Not thread-safe.
 */
public final class FleetShare {
  /** Minimum number of shares; fleets of up to half as many routers need no other rule. */
  private static final int MIN_SHARES = 20;

  /** Number of shares of an amount for each router that is known. */
  private static final int SHARES_PER_ROUTER = 2;

  /** Number of shares while this router may not know its peers yet. */
  private static final int SHARES_AFTER_START = 400;

  /** Time in ms after the start in which a router learns of its peers. */
  private static final long DISCOVERY_MILLIS = 1_000;

  private final Clock clock;
  private final IntSupplier peerCount;
  private final long startedAt;
  private int largestFleet;

  /**
   * Creates the share of a router that has just started.
   *
   * @param clock monotonic clock
   * @param peerCount supplies the number of other routers that are considered alive
   */
  public FleetShare(Clock clock, IntSupplier peerCount) {
    this.clock = clock;
    this.peerCount = peerCount;
    this.startedAt = clock.nanos();
  }

  /**
   * Returns this router's part of an amount.
   *
   * @param fleetAmount what all routers together may use
   */
  public double of(double fleetAmount) {
    largestFleet = Math.max(largestFleet, peerCount.getAsInt() + 1);
    boolean discovering = clock.nanos() - startedAt < DISCOVERY_MILLIS * Clock.NANOS_PER_MILLI;
    int shares = Math.max(MIN_SHARES, SHARES_PER_ROUTER * largestFleet);
    return fleetAmount / (discovering ? Math.max(SHARES_AFTER_START, shares) : shares);
  }
}
