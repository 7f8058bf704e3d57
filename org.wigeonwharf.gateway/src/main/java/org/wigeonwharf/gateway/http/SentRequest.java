package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.placement.Choice;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.ServerChooser;
import org.wigeonwharf.model.Clock;

/**
 * A SentRequest is one send of a request to one backend server: it checks the answer and tells the
 * exchange what became of it.
 *
 * <p>Whole answers are kept back until they are complete, up to a bound. Streams are passed on
 * event by event, so that what the caller has is always a run of whole events.
 */
final class SentRequest implements AttemptListener {
  private static final int UNAVAILABLE = 503;
  private static final int SERVER_ERRORS = 500;

  private final Exchange exchange;
  private final Exchanges shared;
  private final BackendServer server;
  private final Demand demand;
  private final Choice choice;
  private final long sentAt;
  private final InFlightTracker.Entry ticket;
  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private @Nullable Attempt attempt;
  private @Nullable EventFramer framer;
  private @Nullable HttpHeaders headers;
  private @Nullable AnswerFacts facts;
  private int status;
  private boolean stream;
  private boolean passing;
  private boolean heard;
  private boolean over;

  SentRequest(
      Exchange exchange,
      Exchanges shared,
      BackendServer server,
      Demand demand,
      Choice choice,
      long now) {
    this.exchange = exchange;
    this.shared = shared;
    this.server = server;
    this.demand = demand;
    this.choice = choice;
    this.sentAt = now;
    this.ticket = shared.chooser().recordSent(demand, choice, now);
  }

  void open(OutboundRequest request, boolean expectStream) {
    this.stream = expectStream;
    attempt = shared.connector().send(server, request, this);
  }

  void cancel() {
    settle(false);
    if (attempt != null) {
      attempt.cancel();
    }
  }

  /** Ends this send because the server stays silent. */
  void giveUp() {
    fail("the server stays silent");
  }

  void pause(boolean paused) {
    if (attempt != null) {
      attempt.pause(paused);
    }
  }

  private ServerChooser chooser() {
    return shared.chooser();
  }

  private long now() {
    return shared.timers().nanos();
  }

  /** Closes the books of this send; a second call does nothing. */
  private void settle(boolean failed) {
    if (over) {
      return;
    }
    over = true;
    ticket.end();
    if (!heard) {
      chooser().recordResponse(server.id(), false, now());
    }
    chooser().recordEnd(server.id(), failed, now());
  }

  private void hearHead() {
    heard = true;
    chooser().recordResponse(server.id(), true, now());
  }

  @Override
  public void unreachable(String reason) {
    chooser().recordUnreachable(server.id(), now());
    settle(true);
    exchange.notRun("unreachable: " + reason);
  }

  @Override
  public void head(int status, HttpHeaders headers) {
    hearHead();
    this.status = status;
    this.headers = headers;
    AnswerFacts f = shared.protocol().readAnswer(status, headers);
    facts = f;
    if (f.load() != null) {
      chooser().recordLoadReport(server.id(), f.load(), now());
    }
    HopHeaders.remove(headers);
    if (f.notRun() || f.misdirected()) {
      rejected(f);
    } else if (isForeign(f)) {
      fail("an answer that is not this request's");
    } else if (isSuccess() && !f.signed()) {
      fail("an answer without the server's signature");
    } else if (isSuccess() && headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
      fail("an encoded answer");
    } else if (isSuccess() && stream) {
      framer = new EventFramer(this::event);
    }
  }

  private boolean isForeign(AnswerFacts f) {
    String id = exchange.id();
    return f.requestId() != null && id != null && !f.requestId().equals(id);
  }

  private boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  private void rejected(AnswerFacts f) {
    if (f.misdirected()) {
      shared.directory().markMisdirected(server.id());
    } else if (status == UNAVAILABLE) {
      chooser().recordFull(server.id(), now());
    }
    end(false);
    exchange.notRun("server answered " + status + ", not run");
  }

  private void end(boolean failed) {
    settle(failed);
    if (attempt != null) {
      attempt.cancel();
    }
  }

  private void fail(String reason) {
    end(true);
    exchange.failed(reason);
  }

  @Override
  public void data(byte[] bytes) {
    if (over) {
      return;
    }
    if (framer != null) {
      framer.add(bytes);
    } else if (passing) {
      exchange.pass(bytes, null);
    } else {
      kept.writeBytes(bytes);
      if (kept.size() > shared.settings().maxBufferedAnswer()) {
        passOn();
      }
    }
  }

  private void passOn() {
    passing = true;
    exchange.begin(status, answerHeaders());
    exchange.pass(kept.toByteArray(), null);
    kept.reset();
  }

  private HttpHeaders answerHeaders() {
    HttpHeaders h = headers;
    if (h == null) {
      throw new IllegalStateException("no answer yet");
    }
    return h;
  }

  private void event(byte[] bytes, @Nullable String id) {
    if (over) {
      return;
    }
    if (!passing) {
      passing = true;
      learnSpeed();
      ticket.markPrefilled();
      exchange.begin(status, answerHeaders());
    }
    exchange.pass(bytes, id);
  }

  private void learnSpeed() {
    boolean alone = choice.candidate().work().prefillTokens() == 0;
    if (alone && demand.hasPrompt()) {
      double millis = (now() - sentAt) / (double) Clock.NANOS_PER_MILLI;
      chooser().prefillRate(demand.service()).observe(choice.prefillTokens(), millis);
    }
  }

  @Override
  public void complete() {
    if (over) {
      return;
    }
    if (framer != null) {
      completeStream(framer);
      return;
    }
    settle(status >= SERVER_ERRORS);
    if (passing) {
      exchange.completed();
    } else {
      exchange.answered(new Exchange.WholeAnswer(status, answerHeaders(), kept.toByteArray()));
    }
  }

  private void completeStream(EventFramer f) {
    byte[] rest = f.rest();
    if (rest.length > 0) {
      fail("the stream ended within an event");
      return;
    }
    settle(false);
    if (!passing) {
      exchange.begin(status, answerHeaders());
    }
    exchange.completed();
  }

  @Override
  public void broken(String reason) {
    if (over) {
      return;
    }
    settle(true);
    exchange.failed(reason);
  }
}
