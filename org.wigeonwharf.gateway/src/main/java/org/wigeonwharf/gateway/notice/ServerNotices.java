package org.wigeonwharf.gateway.notice;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.limit.DomainShares;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.route.ColdStart;

/**
 * Combines all that backend servers state of themselves in their answers: that they are leaving,
 * that they want a pause, that they are cold, and the request rates that they accept.
 *
 * <p>Not thread-safe. All times are in nanoseconds of the monotonic clock.
 */
public final class ServerNotices {
  private final LeavingServers leaving;
  private final PausedServers paused;
  private final ColdServers cold;
  private final List<ServerNotice> all;

  /**
   * Creates an instance that knows of no statement.
   *
   * @param limits the request rates that servers accept, which the routers share
   * @param shares divides the rates of cold servers among the routers
   * @param coldStarts supplies what a service names for its cold servers, by its name
   * @param log records what servers state
   */
  public ServerNotices(
      ServerLimits limits,
      DomainShares shares,
      Function<String, ColdStart> coldStarts,
      NoticeLog log) {
    this.leaving = new LeavingServers(log);
    this.paused = new PausedServers(log);
    this.cold = new ColdServers(shares, coldStarts, log);
    this.all = List.of(leaving, paused, cold, new LimitNotice(limits));
  }

  /**
   * Records what a server states of itself in an answer.
   *
   * @param server the server that answered
   * @param statement what it states
   * @param now the current time
   */
  public void recordAnswer(BackendServer server, ServerStatement statement, long now) {
    all.forEach(n -> n.recordAnswer(server, statement, now));
  }

  /**
   * Selects the servers that may receive a request, now or after a wait. Servers that are leaving
   * are among them only if there is no other, and for a short time.
   *
   * @param servers the usable servers
   * @param arrivedAt the time at which the request arrived
   * @return those that remain, in the same order
   */
  public List<BackendServer> accepting(List<BackendServer> servers, long arrivedAt) {
    return leaving.accepting(servers, arrivedAt);
  }

  /**
   * Returns whether a server wants no request at all for the time being.
   *
   * @param server the server
   * @param now the current time
   */
  public boolean isClosed(BackendServer server, long now) {
    for (ServerNotice n : all) {
      if (n.isClosed(server, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns how long this router has to wait until it may send a request to a server.
   *
   * @param server the server
   * @param now the current time
   * @return the time in ms; 0 if it may send one immediately
   */
  public double waitMillis(BackendServer server, long now) {
    double longest = 0;
    for (ServerNotice n : all) {
      longest = Math.max(longest, n.waitMillis(server, now));
    }
    return longest;
  }

  /**
   * Returns the time until the first of some servers accepts requests again.
   *
   * @param servers the servers
   * @param now the current time
   * @return the time in ms; 0 if one does now, or if there are none
   */
  public long pauseMillis(List<BackendServer> servers, long now) {
    double shortest = Double.POSITIVE_INFINITY;
    for (BackendServer s : servers) {
      shortest = Math.min(shortest, isClosed(s, now) ? paused.waitMillis(s, now) : 0);
    }
    return servers.isEmpty() ? 0 : (long) Math.ceil(shortest);
  }

  /**
   * Records that a request would best be sent to a server, whether it may be or not.
   *
   * @param server the server
   * @param now the current time
   */
  public void recordDemand(BackendServer server, long now) {
    all.forEach(n -> n.recordDemand(server, now));
  }

  /**
   * Records that a request is sent to a server.
   *
   * @param server the server
   * @param now the current time
   */
  public void recordSent(BackendServer server, long now) {
    all.forEach(n -> n.recordSent(server, now));
  }

  /**
   * Records what the entries of the known servers state, and discards what others have stated.
   *
   * @param known all published servers
   * @param now the current time
   */
  public void retain(Collection<BackendServer> known, long now) {
    all.forEach(n -> n.retain(known, now));
  }

  /**
   * Returns whether a server has stated that it is about to stop.
   *
   * @param server the server
   */
  public boolean isLeaving(BackendServer server) {
    return leaving.isLeaving(server);
  }

  /**
   * Returns whether a server is cold and has to be started gently.
   *
   * @param server the server
   * @param now the current time
   */
  public boolean isCold(BackendServer server, long now) {
    return cold.isCold(server, now);
  }

  /**
   * Returns whether all servers bear full load, as is the case most of the time.
   *
   * @param now the current time
   */
  public boolean areAllWarm(long now) {
    return cold.areAllWarm(now);
  }

  /**
   * Returns how far a server that has to be started gently is from bearing full load.
   *
   * @param server the server
   * @param now the current time
   * @return 1 while it is cold, then falling to 0 over some seconds; 0 if it is warm
   */
  public double coldness(BackendServer server, long now) {
    return cold.coldness(server, now);
  }

  /**
   * Returns the number of servers that are cold now.
   *
   * @param known all published servers
   * @param now the current time
   */
  public int coldCount(Collection<BackendServer> known, long now) {
    return cold.count(known, now);
  }

  /** Returns the number of runs of servers that are known to be leaving or to have left. */
  public int leavingCount() {
    return leaving.count();
  }

  /**
   * Returns the number of servers that want no request now.
   *
   * @param now the current time
   */
  public int pausedCount(long now) {
    return paused.count(now);
  }
}
