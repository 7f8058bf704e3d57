package org.wigeonwharf.schedule;

import org.wigeonwharf.config.BackendServer;

/**
 * The right to start one request on one backend server until a point in time.
 *
 * @param request the slot request
 * @param number the lease's number in this router, to be repeated in its {@link Outcome}; it is not
 *     the number that the scheduler gave the lease
 * @param server the backend server
 * @param expiresAtNanos monotonic time in nanoseconds from which the request must not be started
 */
public record Lease(SlotRequest request, long number, BackendServer server, long expiresAtNanos) {
  /**
   * Returns whether the lease has expired, so that the request must not be started.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   * @return true from the expiry time on
   */
  public boolean isExpired(long nowNanos) {
    return nowNanos - expiresAtNanos >= 0;
  }
}
