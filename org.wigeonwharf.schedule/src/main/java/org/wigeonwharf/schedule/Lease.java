package org.wigeonwharf.schedule;

import org.wigeonwharf.config.BackendServer;

/**
 * A Lease is the right to start one request on one backend server for a short time.
 *
 * @param request what was asked for
 * @param number the lease's number
 * @param server the backend server
 * @param expiresAtNanos monotonic time from which the request must not be started any more
 */
public record Lease(SlotRequest request, long number, BackendServer server, long expiresAtNanos) {
  /**
   * Tells whether the request must not be started any more.
   *
   * @param nowNanos the current monotonic time
   * @return true once the lease is void
   */
  public boolean isExpired(long nowNanos) {
    return nowNanos - expiresAtNanos >= 0;
  }
}
