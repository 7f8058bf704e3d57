package org.wigeonwharf.gateway.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * A WorkLedger counts the work under way at each backend server: this router's own, exactly, and
 * that of its peers, as they last told.
 *
 * <p>Reports of servers lag; what routers have sent and not got back is known at once. Not safe for
 * threads.
 */
public final class InFlightTracker {
  private final long peerMaxAgeNanos;
  private final Map<String, ServerWork> localWork = new HashMap<>();
  private final Map<String, PeerWork> peerWork = new HashMap<>();
  private long localChanges;

  private record PeerWork(Map<String, ServerWork> servers, long receivedAt) {}

  /** A Ticket is one request's entry at one server, moved on as the request goes on. */
  public final class Entry {
    private final String server;
    private ServerWork work;

    private Entry(String server, ServerWork work) {
      this.server = server;
      this.work = work;
      adjust(server, ServerWork.NONE, work);
    }

    /** Notes that the prompt was read: the first event has come. */
    public void markPrefilled() {
      update(new ServerWork(work.running(), work.latencySensitivity(), 0, work.kvCacheTokens()));
    }

    /** Notes that the request is no longer at the server; a second call does nothing. */
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
   * Creates an empty ledger.
   *
   * @param peerMaxAgeNanos how long a peer's word counts without a newer one
   */
  public InFlightTracker(long peerMaxAgeNanos) {
    this.peerMaxAgeNanos = peerMaxAgeNanos;
  }

  /**
   * Enters a request that is about to be sent.
   *
   * @param server the server's id
   * @param demand the request
   * @param prefillTokens prompt tokens that the server is expected to read
   * @return the entry
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
    localChanges++;
  }

  /**
   * Takes a peer's complete work, in place of what it told before.
   *
   * @param peer the peer's name
   * @param servers its work by server id
   * @param now the current time in nanoseconds
   */
  public void replacePeerWork(String peer, Map<String, ServerWork> servers, long now) {
    peerWork.put(peer, new PeerWork(Map.copyOf(servers), now));
  }

  /**
   * Forgets a peer that has left.
   *
   * @param peer the peer's name
   */
  public void removePeer(String peer) {
    peerWork.remove(peer);
  }

  /**
   * Sums up the work at a server.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   * @return own work and that of peers who told lately
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

  /** Returns the own work by server id. */
  public Map<String, ServerWork> localWork() {
    return Map.copyOf(localWork);
  }

  /** Returns a number that grows with each change of the own work. */
  public long localChanges() {
    return localChanges;
  }
}
