package org.wigeonwharf.gateway.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks in-flight requests per backend server: this router's own exactly, and those of its peers
 * as last reported.
 *
 * <p>Load reports of servers are delayed, whereas requests that are sent and not yet ended are
 * known immediately. Not thread-safe.
 */
public final class InFlightTracker {
  private final long peerMaxAgeNanos;
  private final Map<String, ServerWork> localWork = new HashMap<>();
  private final Map<String, PeerWork> peerWork = new HashMap<>();
  private long localChangeCount;

  private record PeerWork(Map<String, ServerWork> servers, long receivedAt) {}

  /** Represents one request at one server until it ends. */
  public final class Entry {
    private final String server;
    private ServerWork work;

    private Entry(String server, ServerWork work) {
      this.server = server;
      this.work = work;
      adjust(server, ServerWork.NONE, work);
    }

    /** Records that the prefill is done, because the first event was received. */
    public void markPrefilled() {
      update(new ServerWork(work.running(), work.latencySensitivity(), 0, work.kvCacheTokens()));
    }

    /** Records that the request is no longer at the server. Idempotent. */
    public void end() {
      update(ServerWork.NONE);
    }

    private void update(ServerWork next) {
      if (!next.equals(work)) {
        adjust(server, work, next);
        work = next;
      }
    }
  }

  /**
   * Creates a tracker without requests.
   *
   * @param peerMaxAgeNanos maximum age of a peer's report; older ones are ignored
   */
  public InFlightTracker(long peerMaxAgeNanos) {
    this.peerMaxAgeNanos = peerMaxAgeNanos;
  }

  /**
   * Adds a request that is about to be sent.
   *
   * @param server the server's id
   * @param demand the request
   * @param prefillTokens number of prompt tokens that the server is expected to prefill
   * @return the request's entry
   */
  public Entry add(String server, Demand demand, int prefillTokens) {
    long kvCacheTokens = (long) demand.promptTokens() + demand.outputTokens();
    return new Entry(
        server, new ServerWork(1, demand.latencySensitivity(), prefillTokens, kvCacheTokens));
  }

  private void adjust(String server, ServerWork from, ServerWork to) {
    ServerWork w = localWork.getOrDefault(server, ServerWork.NONE);
    ServerWork next =
        new ServerWork(
            w.running() - from.running() + to.running(),
            Math.max(
                0, w.latencySensitivity() - from.latencySensitivity() + to.latencySensitivity()),
            w.prefillTokens() - from.prefillTokens() + to.prefillTokens(),
            w.kvCacheTokens() - from.kvCacheTokens() + to.kvCacheTokens());
    if (next.isNone()) {
      localWork.remove(server);
    } else {
      localWork.put(server, next);
    }
    localChangeCount++;
  }

  /**
   * Replaces the recorded work of a peer by that of its newer report.
   *
   * @param peer the peer's name
   * @param servers the peer's complete in-flight work by server id
   * @param now the current time in nanoseconds
   */
  public void replacePeerWork(String peer, Map<String, ServerWork> servers, long now) {
    peerWork.put(peer, new PeerWork(Map.copyOf(servers), now));
  }

  /**
   * Removes a peer that has left the fleet.
   *
   * @param peer the peer's name
   */
  public void removePeer(String peer) {
    peerWork.remove(peer);
  }

  /**
   * Returns the total work at a server.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   * @return the work of this router and of the peers with a recent report
   */
  public ServerWork workAt(String server, long now) {
    ServerWork sum = localWork.getOrDefault(server, ServerWork.NONE);
    for (PeerWork p : peerWork.values()) {
      if (now - p.receivedAt <= peerMaxAgeNanos) {
        sum = sum.plus(p.servers.getOrDefault(server, ServerWork.NONE));
      }
    }
    return sum;
  }

  /** Returns this router's own work by server id. */
  public Map<String, ServerWork> localWork() {
    return Map.copyOf(localWork);
  }

  /** Returns the number of changes of this router's own work so far. */
  public long localChangeCount() {
    return localChangeCount;
  }
}
