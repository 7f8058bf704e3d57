package org.wigeonwharf.gateway.overload;

/**
 * Keeps part of each server's queue and KV cache free for more urgent requests.
 *
 * <p>A server serves the most urgent request in its queue first, but a router sends none to a
 * server whose queue is full. Less urgent requests therefore wait at the router, where more urgent
 * ones overtake them, once they would take the last places. They wait there as well if an engine's
 * KV cache may not hold them beside the requests that it runs, so that it need not preempt any.
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
   * Describes the room at a server.
   *
   * @param load number of requests at the server
   * @param slots number of requests that it runs concurrently
   * @param kvCacheTokens number of tokens that the requests at the server may hold in the KV cache
   * @param kvCacheSize size of the KV cache in tokens; 0 if it has none
   */
  public record Room(int load, int slots, long kvCacheTokens, long kvCacheSize) {
    private boolean hasQueue() {
      return load < slots * (1 + MAX_QUEUE_PER_SLOT);
    }

    /** Tells whether the KV cache holds a further request beside those that have a slot. */
    private boolean hasMemory(long tokens) {
      double running = Math.min(1, slots / (double) Math.max(1, load));
      return kvCacheSize == 0 || running * kvCacheTokens + tokens <= kvCacheSize;
    }
  }

  /**
   * Tells whether a request leaves places in a server's queue for more urgent ones.
   *
   * @param request the request
   * @param room the room at the server
   */
  public boolean keepsPlaces(QueuedRequest request, Room room) {
    return room.hasQueue() || !hasMoreUrgent(request);
  }

  /**
   * Tells whether a request leaves a server's KV cache to the requests that it runs, as far as
   * there are more urgent ones.
   *
   * @param request the request
   * @param kvCacheTokens number of tokens that it may hold in the KV cache; 0 for none
   * @param room the room at the server
   */
  public boolean keepsMemory(QueuedRequest request, long kvCacheTokens, Room room) {
    return room.hasMemory(kvCacheTokens) || !hasMoreUrgent(request);
  }

  private boolean hasMoreUrgent(QueuedRequest r) {
    return usage.shareMoreUrgent(r.service(), r.priority()) >= MIN_URGENT_SHARE;
  }
}
