package org.wigeonwharf.gateway.notice;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.model.Clock;

/**
 * Keeps requests from servers that turned one away and named a time for which they want no more.
 *
 * <p>The longest of the times that a server has named counts, since answers may arrive out of
 * order. After it, the number of requests starts at one and doubles at intervals, so that the
 * server is not overrun by all that could not be sent meanwhile.
 */
final class PausedServers implements ServerNotice {
  /** Longest pause in seconds; a server that names more would be lost for good. */
  private static final double MAX_PAUSE_SECONDS = 600;

  /** Time in ms after which the number of requests since the end of a pause may double. */
  private static final long DOUBLING_MILLIS = 200;

  /** Number of doublings after which a server counts as recovered. */
  private static final int MAX_DOUBLINGS = 6;

  private final NoticeLog log;
  private final Map<ServerRun, Pause> pauses = new HashMap<>();

  /** Holds the end of one server's pause and what was sent since. */
  private static final class Pause {
    private long endsAt;
    private int sentSince;

    private boolean isOver(long now) {
      return now - endsAt >= 0;
    }

    private boolean isRecovered(long now) {
      return now - endsAt >= MAX_DOUBLINGS * DOUBLING_MILLIS * Clock.NANOS_PER_MILLI;
    }

    /** Returns the time at which one more request may be sent. */
    private long nextAt() {
      int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(sentSince);
      long millis = Math.min(doublings, MAX_DOUBLINGS) * DOUBLING_MILLIS;
      return endsAt + millis * Clock.NANOS_PER_MILLI;
    }
  }

  PausedServers(NoticeLog log) {
    this.log = log;
  }

  @Override
  public void recordAnswer(BackendServer server, ServerStatement statement, long now) {
    Double seconds = statement.pauseSeconds();
    if (seconds == null || seconds == 0) {
      return;
    }
    if (!(seconds > 0)) {
      log.logUnusablePause(server.id(), "not a number of seconds");
      return;
    }
    if (seconds > MAX_PAUSE_SECONDS) {
      log.logUnusablePause(server.id(), "longer than " + MAX_PAUSE_SECONDS + " s");
    }
    long endsAt = now + (long) (Math.min(seconds, MAX_PAUSE_SECONDS) * Clock.NANOS_PER_SECOND);
    Pause p = pauses.get(ServerRun.of(server));
    if (p == null) {
      p = new Pause();
      p.endsAt = endsAt;
      pauses.put(ServerRun.of(server), p);
    } else if (endsAt - p.endsAt > 0) {
      p.endsAt = endsAt;
      p.sentSince = 0;
    } else {
      return;
    }
    log.logPaused(server.id(), seconds, now);
  }

  @Override
  public boolean isClosed(BackendServer server, long now) {
    Pause p = find(server);
    return p != null && !p.isOver(now);
  }

  @Override
  public double waitMillis(BackendServer server, long now) {
    Pause p = find(server);
    return p == null || p.isRecovered(now)
        ? 0
        : Math.max(0, p.nextAt() - now) / (double) Clock.NANOS_PER_MILLI;
  }

  @Override
  public void recordSent(BackendServer server, long now) {
    Pause p = find(server);
    if (p != null) {
      p.sentSince++;
    }
  }

  private @Nullable Pause find(BackendServer server) {
    return pauses.isEmpty() ? null : pauses.get(ServerRun.of(server));
  }

  int count(long now) {
    return (int) pauses.values().stream().filter(p -> !p.isOver(now)).count();
  }

  @Override
  public void retain(Collection<BackendServer> known, long now) {
    Set<ServerRun> runs = new HashSet<>();
    known.forEach(s -> runs.add(ServerRun.of(s)));
    pauses
        .entrySet()
        .removeIf(
            e ->
                e.getValue().isRecovered(now)
                    || (!runs.contains(e.getKey()) && !e.getKey().isUnique()));
  }
}
