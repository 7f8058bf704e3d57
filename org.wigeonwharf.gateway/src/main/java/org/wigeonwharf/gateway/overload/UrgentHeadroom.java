package org.wigeonwharf.gateway.overload;

/**
 * Keeps part of each server's queue free for more urgent requests.
 *
 * <p>A server serves the most urgent request in its queue first, but a router sends none to a
 * server whose queue is full. Less urgent requests therefore wait at the router, where more urgent
 * ones overtake them, once they would take the last places.
 */
public final class UrgentHeadroom {
  /** Share of the recent use by more urgent requests from which places are kept for them. */
  private static final double MIN_URGENT_SHARE = 0.02;

  /** Number of queued requests per slot from which places are kept. */
  private static final double MAX_QUEUE_PER_SLOT = 0.5;

  private final ServerUsage usage;

  /**
   * Creates an instance.
   *
   * @param usage the server time that priorities have used
   */
  public UrgentHeadroom(ServerUsage usage) {
    this.usage = usage;
  }

  /**
   * Tells whether a request may take a place in a server's queue.
   *
   * @param request the request
   * @param load number of requests at the server
   * @param slots number of requests that the server runs concurrently
   */
  public boolean permits(QueuedRequest request, int load, int slots) {
    return load < slots * (1 + MAX_QUEUE_PER_SLOT)
        || usage.shareMoreUrgent(request.service(), request.priority()) < MIN_URGENT_SHARE;
  }
}
