package org.wigeonwharf.gateway.overload;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;

/**
 * Describes what a request needs and until when, while it waits for room at a server.
 *
 * @param service the name of the service that serves it
 * @param priority rank among requests; 0 is the highest
 * @param account the name of the client account, or null if the caller did not authenticate
 * @param slotMillis expected use of a server, in ms of one of its slots; a prompt uses all slots of
 *     an engine while it is prefilled
 * @param ownMillis expected time in ms from the moment at which a server begins with the request to
 *     the first event or the answer
 * @param arrivedAt the time in nanoseconds at which it arrived
 * @param dueAt the time in nanoseconds until which the first event or the answer is on time
 * @param leavesAt the time in nanoseconds at which the caller stops waiting for the first event or
 *     the answer
 * @param repeated true if it was sent to a server before
 * @param number orders requests that are equal otherwise
 */
public record QueuedRequest(
    String service,
    int priority,
    @Nullable String account,
    double slotMillis,
    double ownMillis,
    long arrivedAt,
    long dueAt,
    long leavesAt,
    boolean repeated,
    long number) {
  /**
   * Returns the time that its caller still waits.
   *
   * @param now the current time in nanoseconds
   * @return milliseconds; negative once the caller has left
   */
  double patienceMillis(long now) {
    return (leavesAt - now) / (double) Clock.NANOS_PER_MILLI;
  }

  /** Tells whether a server that begins with it now can still answer on time. */
  boolean canBeOnTime(long now) {
    return dueAt - now >= ownMillis * Clock.NANOS_PER_MILLI;
  }

  /** Tells whether it can begin after half of its time to wait and still be on time. */
  boolean hasSlack(long now) {
    return now - arrivedAt < (dueAt - arrivedAt) / 2;
  }
}
