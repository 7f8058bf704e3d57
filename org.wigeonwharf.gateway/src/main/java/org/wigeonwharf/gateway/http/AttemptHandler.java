package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.placement.Choice;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.ServerChooser;
import org.wigeonwharf.gateway.quarantine.LossStage;
import org.wigeonwharf.model.Clock;

/**
 * Handles the response to one attempt: validates it, forwards it and reports the outcome to the
 * exchange.
 *
 * <p>Plain responses are buffered until they are complete, up to a limit. Streams are forwarded
 * after whole events, so that the caller only ever receives whole events.
 */
final class AttemptHandler implements AttemptListener {
  private static final int UNAVAILABLE = 503;

  /** Statuses that promise a caller that its request has not run and never will. */
  private static final Set<Integer> STATUSES_NOT_RUN = Set.of(408, 421, 429, UNAVAILABLE);

  private static final int MIN_SERVER_ERROR = 500;

  /** Time in ms from its first event after which an answer has gone on after its begin. */
  private static final long BEGIN_MILLIS = 150;

  private final Exchange exchange;
  private final ExchangeManager manager;
  private final BackendServer server;
  private final Demand demand;
  private final Choice choice;
  private final long sentAt;
  private final InFlightTracker.Entry inFlightEntry;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private @Nullable Attempt attempt;
  private @Nullable EventFramer framer;
  private @Nullable HttpHeaders headers;
  private int status;
  private boolean stream;
  private boolean forwarding;
  private boolean headReceived;
  private int events;
  private long firstEventAt;
  private boolean begun;
  private boolean endsWithConnection;
  private boolean ended;

  AttemptHandler(
      Exchange exchange,
      ExchangeManager manager,
      BackendServer server,
      Demand demand,
      Choice choice,
      long now) {
    this.exchange = exchange;
    this.manager = manager;
    this.server = server;
    this.demand = demand;
    this.choice = choice;
    this.sentAt = now;
    this.inFlightEntry = manager.chooser().recordSent(demand, choice, now);
  }

  void start(OutboundRequest request, boolean expectStream) {
    this.stream = expectStream;
    attempt = manager.connector().send(server, request, this);
  }

  void cancel() {
    recordEnd(false);
    if (attempt != null) {
      attempt.cancel();
    }
  }

  /** Fails the attempt because the server has stalled. */
  void failStalled() {
    fail("the server stays silent");
  }

  void setPaused(boolean paused) {
    if (attempt != null) {
      attempt.setPaused(paused);
    }
  }

  private ServerChooser chooser() {
    return manager.chooser();
  }

  private long now() {
    return manager.timers().nanos();
  }

  /** Records that the attempt ended. Idempotent. */
  private void recordEnd(boolean failed) {
    if (ended) {
      return;
    }
    ended = true;
    inFlightEntry.end();
    if (!headReceived) {
      chooser().recordResponse(server.id(), false, now());
    }
    chooser().recordEnd(server.id(), failed, now());
  }

  private void recordHead() {
    headReceived = true;
    chooser().recordResponse(server.id(), true, now());
  }

  @Override
  public void onUnreachable(String reason, boolean refused) {
    chooser().recordUnreachable(server.id(), now());
    if (refused) {
      manager.endedServers().recordEnd(server, false, now());
    }
    recordEnd(true);
    exchange.onNotExecuted("unreachable: " + reason);
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    recordHead();
    this.status = status;
    this.headers = headers;
    ResponseMetadata m = manager.protocol().readResponse(status, headers);
    if (isMismatched(m)) {
      // Not even a statement that a request did not run is about this one.
      fail("an answer that is not this request's");
      return;
    }
    if (m.load() != null) {
      chooser().recordLoadReport(server.id(), m.load(), now());
    }
    if (!m.misdirected()) {
      manager.notices().recordAnswer(server, m.statement(), now());
    }
    endsWithConnection =
        !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
            && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    HopByHopHeaders.remove(headers);
    if (m.notExecuted() || m.misdirected()) {
      handleNotExecuted(m);
    } else if (isSuccess() && !m.signed()) {
      fail("an answer without the server's signature");
    } else if (isSuccess() && headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
      fail("an encoded answer");
    } else if (!isSuccess() && exchange.hasResponseBegun()) {
      fail("status " + status + " in answer to a resumed stream");
    } else if (STATUSES_NOT_RUN.contains(status) && !exchange.isRepeatable()) {
      fail("status " + status + " without the statement that the request did not run");
    } else if (isSuccess() && stream) {
      framer =
          new EventFramer(
              this::onEvents, manager.settings().maxBufferedBytes(), exchange.eventOrder());
    }
  }

  private boolean isMismatched(ResponseMetadata m) {
    String id = exchange.requestId();
    return m.requestId() != null && id != null && !m.requestId().equals(id);
  }

  private boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  private void handleNotExecuted(ResponseMetadata m) {
    if (m.misdirected()) {
      manager.directory().markMisdirected(server.id());
      manager.endedServers().recordEnd(server, true, now());
    } else if (status == UNAVAILABLE) {
      chooser().recordFull(server.id(), now());
    }
    cancelAttempt(false);
    exchange.onNotExecuted("server answered " + status + ", not run");
  }

  private void cancelAttempt(boolean failed) {
    recordEnd(failed);
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void fail(String reason) {
    cancelAttempt(true);
    exchange.onFailed(reason);
  }

  @Override
  public void onData(byte[] bytes) {
    if (ended) {
      return;
    }
    if (framer != null) {
      if (!framer.add(bytes) && !ended) {
        fail(
            framer.isOutOfOrder()
                ? "an event that the caller has already"
                : "no event within the limit of its length");
      }
    } else if (forwarding) {
      exchange.forward(bytes);
    } else {
      buffer.writeBytes(bytes);
      if (buffer.size() > manager.settings().maxBufferedBytes()) {
        forwardBuffer();
      }
    }
  }

  private void forwardBuffer() {
    forwarding = true;
    exchange.beginResponse(status, responseHeaders());
    exchange.forward(buffer.toByteArray());
    buffer.reset();
  }

  private HttpHeaders responseHeaders() {
    HttpHeaders h = headers;
    if (h == null) {
      throw new IllegalStateException("response head not received yet");
    }
    return h;
  }

  private void onEvents(EventBatch batch) {
    if (ended) {
      return;
    }
    if (events == 0) {
      firstEventAt = now();
    } else if (now() - firstEventAt >= BEGIN_MILLIS * Clock.NANOS_PER_MILLI) {
      recordBegun();
    }
    events += batch.events();
    if (!forwarding) {
      forwarding = true;
      recordPrefillRate();
      inFlightEntry.markPrefilled();
      exchange.beginStream(status, responseHeaders());
    }
    exchange.forwardEvents(batch);
  }

  private void recordBegun() {
    if (!begun) {
      begun = true;
      manager.quarantine().recordBegun(demand.sharedPartIds(), now());
    }
  }

  /**
   * Records that the request did its server no harm, which only a whole answer proves: a prompt may
   * crash its server at any time while the answer is written.
   */
  private void recordProven() {
    manager.quarantine().recordProven(demand.sharedPartIds(), now());
  }

  private void recordLost(String reason) {
    manager
        .log()
        .logAttemptLost(
            exchange.requestId(),
            server.id(),
            demand,
            reason,
            headReceived,
            events,
            now() - sentAt);
    manager.serverEnds().recordLost(server, demand.sharedPartIds(), lossStage());
  }

  private LossStage lossStage() {
    if (!headReceived) {
      return LossStage.WAITING;
    }
    return begun ? LossStage.RUNNING : LossStage.BEGINNING;
  }

  private void recordPrefillRate() {
    boolean emptyPrefillQueue = choice.candidate().work().prefillTokens() == 0;
    if (emptyPrefillQueue && demand.hasPrompt()) {
      double millis = (now() - sentAt) / (double) Clock.NANOS_PER_MILLI;
      chooser().prefillRate(demand.service()).observe(choice.prefillTokens(), millis);
    }
  }

  @Override
  public void onComplete() {
    if (ended) {
      return;
    }
    if (framer != null) {
      completeStream(framer);
      return;
    }
    if (isSuccess()) {
      recordProven();
      exchange.recordServed(choice, sentAt);
    }
    recordEnd(status >= MIN_SERVER_ERROR);
    if (forwarding) {
      exchange.onForwardingComplete();
    } else {
      exchange.onResponse(
          new Exchange.FullResponse(status, responseHeaders(), buffer.toByteArray()));
    }
  }

  private void completeStream(EventFramer eventFramer) {
    boolean endsBeforeFirstEvent = endsWithConnection && events == 0;
    if (eventFramer.isWithinEvent() || endsBeforeFirstEvent) {
      String reason =
          endsBeforeFirstEvent
              ? "the stream ended without an event"
              : "the stream ended within an event";
      recordLost(reason);
      fail(reason);
      return;
    }
    recordProven();
    exchange.recordServed(choice, sentAt);
    recordEnd(false);
    if (!forwarding) {
      exchange.beginStream(status, responseHeaders());
    }
    byte[] remainder = eventFramer.remainder();
    if (remainder.length > 0) {
      exchange.forwardEvents(new EventBatch(remainder, 0, null));
    }
    exchange.onForwardingComplete();
  }

  @Override
  public void onConnectionLost(String reason) {
    if (ended) {
      return;
    }
    recordEnd(true);
    recordLost(reason);
    exchange.onFailed(reason);
  }
}
