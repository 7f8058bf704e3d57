package org.wigeonwharf.schedule;

import org.wigeonwharf.config.BackendServer;

/**
 * A Lease is the right to start one request on one backend server for a short time.
 *
 * @param request what was asked for
 * @param number the lease's number
 * @param server the backend server
 * @param voidAtNanos monotonic time from which the request must not be started any more
 */
public record Lease(SlotRequest request, long number, BackendServer server, long voidAtNanos) {
  /**
   * Tells whether the request must not be started any more.
   *
   * @param nowNanos the current monotonic time
   * @return true once the lease is void
   */
  public boolean isVoid(long nowNanos) {
    return nowNanos - voidAtNanos >= 0;
  }
}
