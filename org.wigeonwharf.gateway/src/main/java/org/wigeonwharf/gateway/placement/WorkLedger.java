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
public final class WorkLedger {
  private final long peerMaxAgeNanos;
  private final Map<String, ServerWork> own = new HashMap<>();
  private final Map<String, PeerWork> peers = new HashMap<>();
  private long changes;

  private record PeerWork(Map<String, ServerWork> servers, long heardAt) {}

  /** A Ticket is one request's entry at one server, moved on as the request goes on. */
  public final class Ticket {
    private final String server;
    private ServerWork entry;

    private Ticket(String server, ServerWork entry) {
      this.server = server;
      this.entry = entry;
      shift(server, ServerWork.NONE, entry);
    }

    /** Notes that the prompt was read: the first event has come. */
    public void prefilled() {
      replace(new ServerWork(entry.running(), entry.tightness(), 0, entry.memoryTokens()));
    }

    /** Notes that the request is no longer at the server; a second call does nothing. */
    public void end() {
      replace(ServerWork.NONE);
    }

    private void replace(ServerWork next) {
      if (!next.equals(entry)) {
        shift(server, entry, next);
        entry = next;
      }
    }
  }

  /**
   * Creates an empty ledger.
   *
   * @param peerMaxAgeNanos how long a peer's word counts without a newer one
   */
  public WorkLedger(long peerMaxAgeNanos) {
    this.peerMaxAgeNanos = peerMaxAgeNanos;
  }

  /**
   * Enters a request that is about to be sent.
   *
   * @param server the server's id
   * @param demand the request
   * @param unreadTokens prompt tokens that the server is expected to read
   * @return the entry
   */
  public Ticket enter(String server, Demand demand, int unreadTokens) {
    long memory = (long) demand.promptTokens() + demand.outputTokens();
    return new Ticket(server, new ServerWork(1, demand.tightness(), unreadTokens, memory));
  }

  private void shift(String server, ServerWork from, ServerWork to) {
    ServerWork w = own.getOrDefault(server, ServerWork.NONE);
    ServerWork next =
        new ServerWork(
            w.running() - from.running() + to.running(),
            Math.max(0, w.tightness() - from.tightness() + to.tightness()),
            w.prefillTokens() - from.prefillTokens() + to.prefillTokens(),
            w.memoryTokens() - from.memoryTokens() + to.memoryTokens());
    if (next.isNone()) {
      own.remove(server);
    } else {
      own.put(server, next);
    }
    changes++;
  }

  /**
   * Takes a peer's complete work, in place of what it told before.
   *
   * @param peer the peer's name
   * @param servers its work by server id
   * @param now the current time in nanoseconds
   */
  public void heard(String peer, Map<String, ServerWork> servers, long now) {
    peers.put(peer, new PeerWork(Map.copyOf(servers), now));
  }

  /**
   * Forgets a peer that has left.
   *
   * @param peer the peer's name
   */
  public void forget(String peer) {
    peers.remove(peer);
  }

  /**
   * Sums up the work at a server.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   * @return own work and that of peers who told lately
   */
  public ServerWork at(String server, long now) {
    ServerWork sum = own.getOrDefault(server, ServerWork.NONE);
    for (PeerWork p : peers.values()) {
      if (now - p.heardAt <= peerMaxAgeNanos) {
        sum = sum.plus(p.servers.getOrDefault(server, ServerWork.NONE));
      }
    }
    return sum;
  }

  /** Returns the own work by server id. */
  public Map<String, ServerWork> own() {
    return Map.copyOf(own);
  }

  /** Returns a number that grows with each change of the own work. */
  public long changes() {
    return changes;
  }
}
