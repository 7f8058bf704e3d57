package org.wigeonwharf.gateway.http;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.placement.Candidate;
import org.wigeonwharf.gateway.placement.Choice;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.ServerPenalties;
import org.wigeonwharf.model.Clock;

/**
 * A RequestLog writes one line for each decision that touches a request, bounded in volume, and
 * counts outcomes.
 *
 * <p>Each kind of line has a rate bound of its own, so that a flood of one kind hides no other;
 * lines beyond it are counted and the count is written with the next line of that kind.
 */
public final class RequestLog {
  /** Lines a second of one kind; a router at its peak writes some dozen. */
  private static final int LINES_PER_SECOND = 40;

  /** Characters of a request's id that a line holds; callers choose ids freely. */
  private static final int MAX_ID_LENGTH = 64;

  private static final Logger LOG = LoggerFactory.getLogger("org.wigeonwharf.gateway.request");

  private final Clock clock;
  private final RequestMetrics metrics;
  private final Map<String, Bound> bounds = new HashMap<>();

  /** A Bound lets a number of lines through each second. */
  private static final class Bound {
    private long second = Long.MIN_VALUE;
    private int used;
    private long dropped;

    boolean admit(long now) {
      if (now != second) {
        second = now;
        used = 0;
      }
      if (used < LINES_PER_SECOND) {
        used++;
        return true;
      }
      dropped++;
      return false;
    }
  }

  /**
   * Creates a log.
   *
   * @param clock monotonic time
   * @param metrics counts outcomes and dropped lines
   */
  public RequestLog(Clock clock, MetricRegistry metrics) {
    this.clock = clock;
    this.metrics = new RequestMetrics(metrics);
  }

  private @Nullable LoggingEventBuilder line(String event, @Nullable String request) {
    Bound b = bounds.computeIfAbsent(event, e -> new Bound());
    if (!b.admit(Math.floorDiv(clock.nanos(), Clock.NANOS_PER_SECOND))) {
      metrics.lineDropped();
      return null;
    }
    LoggingEventBuilder l =
        LOG.atInfo().addKeyValue("event", event).addKeyValue("request", shortened(request));
    if (b.dropped > 0) {
      l = l.addKeyValue("dropped_before", b.dropped);
      b.dropped = 0;
    }
    return l;
  }

  private static String shortened(@Nullable String request) {
    String id = String.valueOf(request);
    return id.length() <= MAX_ID_LENGTH ? id : id.substring(0, MAX_ID_LENGTH);
  }

  void placed(
      @Nullable String request,
      Choice choice,
      Demand demand,
      int sends,
      long waitedMillis,
      long leftMillis) {
    metrics.sent(choice.candidate().server().id(), waitedMillis);
    LoggingEventBuilder l = line("request.sent", request);
    if (l == null) {
      return;
    }
    Candidate c = choice.candidate();
    BackendServer source = choice.cacheSource();
    l.addKeyValue("server", c.server().id())
        .addKeyValue("send", sends)
        .addKeyValue("prompt_tokens", demand.promptTokens())
        .addKeyValue("output_tokens", demand.outputTokens())
        .addKeyValue("cost_ms", Math.round(choice.costMillis()))
        .addKeyValue("penalty_ms", Math.round(ServerPenalties.DEFAULT.total(c)))
        .addKeyValue("running", c.work().running())
        .addKeyValue("reported", c.reportedLoad())
        .addKeyValue("report_age_ms", c.reportAgeMillis())
        .addKeyValue("slowdown", c.slowdown())
        .addKeyValue("unread_tokens", c.work().prefillTokens())
        .addKeyValue("tightness", c.work().latencySensitivity())
        .addKeyValue("usual_tightness", c.averageSensitivity())
        .addKeyValue("bulk_share", c.longPrefillShare())
        .addKeyValue("home", c.prefixOwner())
        .addKeyValue("remembered_tokens", c.cachedTokens())
        .addKeyValue("kept_elsewhere_tokens", c.cachedElsewhereTokens())
        .addKeyValue("memory_source", source == null ? "" : source.id())
        .addKeyValue("failure_rate", c.failureRate())
        .addKeyValue("state", c.state())
        .addKeyValue("waited_ms", waitedMillis)
        .addKeyValue("left_ms", leftMillis)
        .log("sent");
  }

  void held(@Nullable String request, String service, int servers, int waiting) {
    LoggingEventBuilder l = line("request.held", request);
    if (l != null) {
      l.addKeyValue("service", service)
          .addKeyValue("servers", servers)
          .addKeyValue("waiting", waiting)
          .log("no server may get it now");
    }
  }

  void retried(@Nullable String request, String server, String reason, boolean mayHaveRun) {
    metrics.retried(server);
    LoggingEventBuilder l = line("request.retried", request);
    if (l != null) {
      l.addKeyValue("server", server)
          .addKeyValue("reason", reason)
          .addKeyValue("may_have_run", mayHaveRun)
          .log("tries another server");
    }
  }

  void budgetSpent(@Nullable String request, String service) {
    metrics.budgetSpent(service);
    LoggingEventBuilder l = line("request.budget_spent", request);
    if (l != null) {
      l.addKeyValue("service", service).log("no repeated send left in the budget");
    }
  }

  void ended(
      @Nullable String request,
      String route,
      RequestOutcome outcome,
      int status,
      String reason,
      int sends,
      long millis,
      long firstMillis,
      long gapMillis,
      int events,
      long configVersion) {
    metrics.ended(route, outcome, millis, firstMillis);
    LoggingEventBuilder l = line("request." + outcome.word(), request);
    if (l != null) {
      l.addKeyValue("route", route)
          .addKeyValue("status", status)
          .addKeyValue("reason", reason)
          .addKeyValue("sends", sends)
          .addKeyValue("ms", millis)
          .addKeyValue("first_ms", firstMillis)
          .addKeyValue("longest_gap_ms", gapMillis)
          .addKeyValue("events", events)
          .addKeyValue("config_version", configVersion)
          .log("ended");
    }
  }
}
