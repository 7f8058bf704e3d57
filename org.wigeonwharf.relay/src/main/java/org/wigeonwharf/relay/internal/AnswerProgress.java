package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.ServiceKind;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.relay.EngineHeaders;

/**
 * An AnswerProgress follows one run's answer to one caller, over all connections that carry it.
 *
 * <p>It knows how many bytes were forwarded, which stream they belong to, and what shows that the
 * answer is whole. Not thread-safe.
 */
final class AnswerProgress {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final ServiceSpec service;
  private @Nullable AnswerWatch events;
  private @Nullable String streamId;
  private @Nullable BackendServer source;
  private long forwardedBytes;

  AnswerProgress(ServiceSpec service) {
    this.service = service;
  }

  /** Takes the head of a new run's answer. */
  void begin(HttpFields head, BackendServer server) {
    String type = head.get(HttpHeader.CONTENT_TYPE);
    boolean streamed = type != null && type.startsWith(EVENT_STREAM);
    events = streamed && service.kind() == ServiceKind.MODEL ? new AnswerWatch() : null;
    streamId = events != null && service.resumable() ? head.get(EngineHeaders.STREAM_ID) : null;
    source = server;
  }

  /** Takes the head of an answer that should continue the run; false if it does not. */
  boolean resume(Response answer, BackendServer server) {
    HttpFields head = answer.getHeaders();
    boolean same =
        answer.getStatus() == 200
            && head.get(EngineHeaders.STREAM_ID) != null
            && head.get(EngineHeaders.STREAM_ID).equals(streamId)
            && Long.toString(forwardedBytes).equals(head.get(EngineHeaders.STREAM_OFFSET));
    if (same) {
      source = server;
    }
    return same;
  }

  /** Forgets a run of which nothing was forwarded. */
  void forget() {
    events = null;
    streamId = null;
    source = null;
  }

  void forwarded(ByteBuffer content) {
    forwardedBytes += content.remaining();
    if (events != null) {
      events.feed(content);
    }
  }

  long forwardedBytes() {
    return forwardedBytes;
  }

  /** Returns the tokens seen; for answers that are not streams of events 0. */
  int tokens() {
    return events == null ? 0 : events.events();
  }

  /** Tells whether the answer is whole, given that its framing ended cleanly. */
  boolean isWhole() {
    return events == null || events.isDone();
  }

  /** Tells whether the end of an answer with this head can be told from a broken connection. */
  boolean canShowItsEnd(String method, Response answer) {
    HttpFields h = answer.getHeaders();
    return events != null
        || method.equals("HEAD")
        || answer.getStatus() == NO_CONTENT
        || answer.getStatus() == NOT_MODIFIED
        || h.contains(HttpHeader.CONTENT_LENGTH)
        || h.contains(HttpHeader.TRANSFER_ENCODING, "chunked");
  }

  /** Returns where to continue, or null if the run can't be continued. */
  @Nullable ResumePoint resumePoint() {
    if (streamId == null || source == null) {
      return null;
    }
    return new ResumePoint(streamId, source, forwardedBytes);
  }
}
