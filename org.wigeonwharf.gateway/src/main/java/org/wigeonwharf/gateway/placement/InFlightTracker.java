package org.wigeonwharf.gateway.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks in-flight requests per backend server: this router's own exactly, and those of its peers
 * as last reported.
 *
 * <p>Load reports of servers are delayed, whereas requests that are sent and not yet ended are
 * known immediately. The reports of all peers are kept as one sum per server, so that a placement
 * decision costs the same in fleets of any size. Not thread-safe.
 */
public final class InFlightTracker {
  private final long reportMaxAgeNanos;
  private final Map<String, ServerWork> localWork = new HashMap<>();
  private final Map<String, Report> reports = new HashMap<>();
  private final Map<String, ServerWork> reportedTotal = new HashMap<>();
  // No report expires before this time.
  private long nextExpiryCheckAt;
  private long localChangeCount;
  private long localPrefillTokens;
  private Runnable onLocalChange = () -> {};

  private record Report(Map<String, ServerWork> servers, long reportedAt) {}

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
   * @param reportMaxAgeNanos maximum age of a report; older ones are ignored
   */
  public InFlightTracker(long reportMaxAgeNanos) {
    this.reportMaxAgeNanos = reportMaxAgeNanos;
  }

  /**
   * Sets the action that runs after each change of this router's own work.
   *
   * @param action runs on the thread of the change
   */
  public void onLocalChange(Runnable action) {
    onLocalChange = action;
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
    localPrefillTokens += prefillTokens;
    return new Entry(
        server, new ServerWork(1, demand.latencySensitivity(), prefillTokens, kvCacheTokens));
  }

  private void adjust(String server, ServerWork from, ServerWork to) {
    replace(localWork, server, from, to);
    localChangeCount++;
    onLocalChange.run();
  }

  private static void replace(
      Map<String, ServerWork> total, String server, ServerWork from, ServerWork to) {
    ServerWork next = total.getOrDefault(server, ServerWork.NONE).minus(from).plus(to);
    if (next.isNone()) {
      total.remove(server);
    } else {
      total.put(server, next);
    }
  }

  /**
   * Replaces the recorded work of a source by that of its newer report.
   *
   * @param source identifies a peer, or a group of peers that reports the sum of its work
   * @param servers the source's complete in-flight work by server id
   * @param reportedAt the time of the report in nanoseconds
   */
  public void replaceReport(String source, Map<String, ServerWork> servers, long reportedAt) {
    removeReport(source);
    long expiresAt = reportedAt + reportMaxAgeNanos;
    if (reports.isEmpty() || expiresAt - nextExpiryCheckAt < 0) {
      nextExpiryCheckAt = expiresAt;
    }
    reports.put(source, new Report(Map.copyOf(servers), reportedAt));
    servers.forEach((server, work) -> replace(reportedTotal, server, ServerWork.NONE, work));
  }

  /**
   * Removes the recorded work of a source that has left the fleet.
   *
   * @param source identifies a peer or a group of peers
   */
  public void removeReport(String source) {
    Report old = reports.remove(source);
    if (old != null) {
      subtract(old);
    }
  }

  private void subtract(Report report) {
    report.servers.forEach((server, work) -> replace(reportedTotal, server, work, ServerWork.NONE));
  }

  private void removeExpired(long now) {
    if (reports.isEmpty() || now - nextExpiryCheckAt <= 0) {
      return;
    }
    nextExpiryCheckAt = now + reportMaxAgeNanos;
    for (Map.Entry<String, Report> e : List.copyOf(reports.entrySet())) {
      long expiresAt = e.getValue().reportedAt + reportMaxAgeNanos;
      if (now - expiresAt > 0) {
        removeReport(e.getKey());
      } else if (expiresAt - nextExpiryCheckAt < 0) {
        nextExpiryCheckAt = expiresAt;
      }
    }
  }

  /**
   * Returns the total work at a server.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   * @return the work of this router and of the sources with a recent report
   */
  public ServerWork workAt(String server, long now) {
    removeExpired(now);
    return localWork
        .getOrDefault(server, ServerWork.NONE)
        .plus(reportedTotal.getOrDefault(server, ServerWork.NONE));
  }

  /** Returns this router's own work by server id. */
  public Map<String, ServerWork> localWork() {
    return Map.copyOf(localWork);
  }

  /**
   * Returns the sum of this router's own work and that of some sources.
   *
   * @param sources the sources to include; those without a recent report are left out
   * @param now the current time in nanoseconds
   * @return the work by server id
   */
  public Map<String, ServerWork> workWith(Collection<String> sources, long now) {
    removeExpired(now);
    Map<String, ServerWork> sum = new HashMap<>(localWork);
    for (String source : sources) {
      Report report = reports.get(source);
      if (report != null) {
        report.servers.forEach((server, work) -> sum.merge(server, work, ServerWork::plus));
      }
    }
    return sum;
  }

  /** Returns the number of changes of this router's own work so far. */
  public long localChangeCount() {
    return localChangeCount;
  }

  /** Returns the number of prompt tokens that this router has sent for prefill so far. */
  public long localPrefillTokens() {
    return localPrefillTokens;
  }
}
