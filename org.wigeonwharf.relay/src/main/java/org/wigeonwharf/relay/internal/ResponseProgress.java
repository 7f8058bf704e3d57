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
 * Tracks the response of one run to one caller, over all backend connections that carry it.
 *
 * <p>Records how many bytes were forwarded, which stream they belong to, and whether the response
 * is complete. Not thread-safe.
 */
final class ResponseProgress {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final ServiceSpec service;
  private @Nullable EventStreamScanner eventScanner;
  private @Nullable String streamId;
  private @Nullable BackendServer lastServer;
  private long forwardedBytes;

  ResponseProgress(ServiceSpec service) {
    this.service = service;
  }

  /** Handles the response head of a new run. */
  void beginRun(HttpFields head, BackendServer server) {
    String type = head.get(HttpHeader.CONTENT_TYPE);
    boolean isEventStream = type != null && type.startsWith(EVENT_STREAM);
    eventScanner =
        isEventStream && service.kind() == ServiceKind.MODEL ? new EventStreamScanner() : null;
    streamId =
        eventScanner != null && service.resumable() ? head.get(EngineHeaders.STREAM_ID) : null;
    lastServer = server;
  }

  /** Handles the response head of a resume request; returns false if it does not match the run. */
  boolean tryResume(Response response, BackendServer server) {
    HttpFields head = response.getHeaders();
    boolean matches =
        response.getStatus() == 200
            && head.get(EngineHeaders.STREAM_ID) != null
            && head.get(EngineHeaders.STREAM_ID).equals(streamId)
            && Long.toString(forwardedBytes).equals(head.get(EngineHeaders.STREAM_OFFSET));
    if (matches) {
      lastServer = server;
    }
    return matches;
  }

  /** Discards a run of which nothing was forwarded. */
  void reset() {
    eventScanner = null;
    streamId = null;
    lastServer = null;
  }

  void recordForwarded(ByteBuffer content) {
    forwardedBytes += content.remaining();
    if (eventScanner != null) {
      eventScanner.feed(content);
    }
  }

  long forwardedBytes() {
    return forwardedBytes;
  }

  /** Returns the number of tokens received; 0 for a response that is not an event stream. */
  int tokens() {
    return eventScanner == null ? 0 : eventScanner.events();
  }

  /** Returns whether the response is complete, provided that its HTTP framing is. */
  boolean isComplete() {
    return eventScanner == null || eventScanner.isTerminated();
  }

  /** Returns whether the end of this response can be told from the loss of its connection. */
  boolean hasDetectableEnd(String method, Response response) {
    HttpFields h = response.getHeaders();
    return eventScanner != null
        || method.equals("HEAD")
        || response.getStatus() == NO_CONTENT
        || response.getStatus() == NOT_MODIFIED
        || h.contains(HttpHeader.CONTENT_LENGTH)
        || h.contains(HttpHeader.TRANSFER_ENCODING, "chunked");
  }

  /** Returns where to resume, or null if the run cannot be resumed. */
  @Nullable ResumePoint resumePoint() {
    if (streamId == null || lastServer == null) {
      return null;
    }
    return new ResumePoint(streamId, lastServer, forwardedBytes);
  }
}
