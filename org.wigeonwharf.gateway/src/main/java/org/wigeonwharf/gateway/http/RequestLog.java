package org.wigeonwharf.gateway.http;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.overload.OverloadDecision;
import org.wigeonwharf.gateway.placement.Candidate;
import org.wigeonwharf.gateway.placement.Choice;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.ServerPenalties;
import org.wigeonwharf.gateway.placement.ServiceLoad;
import org.wigeonwharf.gateway.stream.Resolution;
import org.wigeonwharf.model.Clock;

/**
 * Logs one line for each decision about a request, with a rate limit, and counts outcomes.
 *
 * <p>Each event has a rate limit of its own, so that a flood of one event suppresses no other.
 * Dropped lines are counted, and the count is logged with the next line of that event.
 */
public final class RequestLog {
  /**
   * Maximum number of lines per second for each event; a router at peak load writes about a dozen.
   */
  private static final int MAX_LINES_PER_SECOND = 40;

  /** Maximum length of a request's id in a line, since callers choose ids freely. */
  private static final int MAX_ID_LENGTH = 64;

  private static final Logger LOG = LoggerFactory.getLogger("org.wigeonwharf.gateway.request");

  private final Clock clock;
  private final RequestMetrics metrics;
  private final Map<String, RateLimit> rateLimits = new HashMap<>();

  /** Limits the number of lines per second of one event. */
  private static final class RateLimit {
    private long currentSecond = Long.MIN_VALUE;
    private int linesInSecond;
    private long dropped;

    boolean tryAcquire(long now) {
      if (now != currentSecond) {
        currentSecond = now;
        linesInSecond = 0;
      }
      if (linesInSecond < MAX_LINES_PER_SECOND) {
        linesInSecond++;
        return true;
      }
      dropped++;
      return false;
    }
  }

  /**
   * Creates a log.
   *
   * @param clock monotonic clock
   * @param metrics receives counts of outcomes and dropped lines
   */
  public RequestLog(Clock clock, MetricRegistry metrics) {
    this.clock = clock;
    this.metrics = new RequestMetrics(metrics);
  }

  private @Nullable LoggingEventBuilder line(String event, @Nullable String requestId) {
    RateLimit rateLimit = rateLimits.computeIfAbsent(event, e -> new RateLimit());
    if (!rateLimit.tryAcquire(Math.floorDiv(clock.nanos(), Clock.NANOS_PER_SECOND))) {
      metrics.recordDroppedLine();
      return null;
    }
    LoggingEventBuilder builder =
        LOG.atInfo().addKeyValue("event", event).addKeyValue("request", truncate(requestId));
    if (rateLimit.dropped > 0) {
      builder = builder.addKeyValue("dropped_before", rateLimit.dropped);
      rateLimit.dropped = 0;
    }
    return builder;
  }

  private static String truncate(@Nullable String requestId) {
    String id = String.valueOf(requestId);
    return id.length() <= MAX_ID_LENGTH ? id : id.substring(0, MAX_ID_LENGTH);
  }

  void logSent(
      @Nullable String requestId,
      Choice choice,
      Demand demand,
      int sends,
      long waitedMillis,
      long remainingMillis) {
    metrics.recordSent(choice.candidate().server().id(), waitedMillis);
    LoggingEventBuilder l = line("request.sent", requestId);
    if (l == null) {
      return;
    }
    Candidate c = choice.candidate();
    BackendServer source = choice.cacheSource();
    l.addKeyValue("server", c.server().id())
        .addKeyValue("software_version", c.server().softwareVersion())
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
        .addKeyValue("left_ms", remainingMillis)
        .log("sent the request to a server");
  }

  /**
   * Logs which software version a stream has to continue at that its caller resumes.
   *
   * @param resumedRequestId id of the caller's attempt that received the first event, or null
   * @param resolution the version and how it is known
   */
  void logResumed(
      @Nullable String requestId,
      @Nullable String resumedRequestId,
      String service,
      Resolution resolution) {
    metrics.recordResumed(resolution);
    LoggingEventBuilder l = line("request.resumed", requestId);
    if (l != null) {
      String version = resolution.softwareVersion();
      l.addKeyValue("resumes", truncate(resumedRequestId))
          .addKeyValue("service", service)
          .addKeyValue("software_version", version == null ? "" : version)
          .addKeyValue("source", resolution.source().label())
          .log("the caller resumes a stream");
    }
  }

  void logHeld(
      @Nullable String requestId,
      String service,
      int servers,
      int leaving,
      int paused,
      int heldRequests) {
    LoggingEventBuilder l = line("request.held", requestId);
    if (l != null) {
      l.addKeyValue("service", service)
          .addKeyValue("servers", servers)
          .addKeyValue("leaving", leaving)
          .addKeyValue("paused", paused)
          .addKeyValue("waiting", heldRequests)
          .log("no server may receive the request now");
    }
  }

  /**
   * Logs that a request is refused early, with the load that this answers.
   *
   * @param held number of requests held by this router
   * @param retryAfterMillis time in ms after which the caller should come back
   */
  void logShed(
      @Nullable String requestId,
      Demand demand,
      OverloadDecision.Refuse decision,
      ServiceLoad load,
      int held,
      long retryAfterMillis) {
    metrics.recordShed(demand.service(), demand.priority());
    LoggingEventBuilder l = line("request.shed", requestId);
    if (l != null) {
      l.addKeyValue("service", demand.service())
          .addKeyValue("priority", demand.priority())
          .addKeyValue("start_ms", Math.round(decision.startMillis()))
          .addKeyValue("patience_ms", Math.round(decision.patienceMillis()))
          .addKeyValue("servers", load.servers())
          .addKeyValue("slots", load.slots())
          .addKeyValue("taken", load.taken())
          .addKeyValue("queued", load.queued())
          .addKeyValue("waiting", held)
          .addKeyValue("retry_after_ms", retryAfterMillis)
          .log("no server can answer the request in time");
    }
  }

  void logRetried(@Nullable String requestId, String server, String reason, boolean mayHaveRun) {
    metrics.recordRetry(server);
    LoggingEventBuilder l = line("request.retried", requestId);
    if (l != null) {
      l.addKeyValue("server", server)
          .addKeyValue("reason", reason)
          .addKeyValue("may_have_run", mayHaveRun)
          .log("retrying after a failed attempt");
    }
  }

  /**
   * Logs that the connection of an attempt was lost, with what the requests that were lost at one
   * server may have in common.
   *
   * @param headReceived whether the head of the answer had been received
   * @param events number of whole events received before
   * @param ageNanos time since the request was sent to the server
   */
  void logAttemptLost(
      @Nullable String requestId,
      String server,
      Demand demand,
      String reason,
      boolean headReceived,
      int events,
      long ageNanos) {
    LoggingEventBuilder l = line("request.attempt_lost", requestId);
    if (l != null) {
      l.addKeyValue("server", server)
          .addKeyValue("reason", reason)
          .addKeyValue("head_received", headReceived)
          .addKeyValue("events", events)
          .addKeyValue("parts", demand.sharedPartIds())
          .addKeyValue("ms", ageNanos / Clock.NANOS_PER_MILLI)
          .log("connection lost before the answer was complete");
    }
  }

  void logQuarantined(@Nullable String requestId, String part, long remainingMillis, int sends) {
    metrics.recordQuarantined();
    LoggingEventBuilder l = line("request.quarantined", requestId);
    if (l != null) {
      l.addKeyValue("part", part)
          .addKeyValue("remaining_ms", remainingMillis)
          .addKeyValue("sends", sends)
          .log("a part of the prompt is quarantined");
    }
  }

  void logBudgetExhausted(@Nullable String requestId, String service) {
    metrics.recordBudgetExhausted(service);
    LoggingEventBuilder l = line("request.budget_spent", requestId);
    if (l != null) {
      l.addKeyValue("service", service).log("retry budget exhausted");
    }
  }

  void logEnded(
      @Nullable String requestId,
      String route,
      RequestOutcome outcome,
      int status,
      String reason,
      int sends,
      long elapsedMillis,
      long firstByteMillis,
      long longestGapMillis,
      int events,
      String softwareVersion,
      long configVersion) {
    metrics.recordEnd(route, outcome, elapsedMillis, firstByteMillis);
    LoggingEventBuilder l = line("request." + outcome.label(), requestId);
    if (l != null) {
      l.addKeyValue("route", route)
          .addKeyValue("status", status)
          .addKeyValue("reason", reason)
          .addKeyValue("sends", sends)
          .addKeyValue("ms", elapsedMillis)
          .addKeyValue("first_ms", firstByteMillis)
          .addKeyValue("longest_gap_ms", longestGapMillis)
          .addKeyValue("events", events)
          .addKeyValue("software_version", softwareVersion)
          .addKeyValue("config_version", configVersion)
          .log("request ended");
    }
  }
}
