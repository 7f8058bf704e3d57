package org.wigeonwharf.relay.internal;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.relay.EngineHeaders;
import org.wigeonwharf.relay.RelayHeaders;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.relay.keys.KeyedRequest;

/** The request that one attempt sends to a backend server. */
final class BackendRequest {
  private static final int LOWEST_URGENCY = 7;
  private static final byte[] NO_BODY = new byte[0];

  private final String method;
  private final String path;
  private final HttpFields headers;
  private final byte[] body;
  private final @Nullable String mediaType;

  private BackendRequest(
      String method, String path, HttpFields headers, byte[] body, @Nullable String mediaType) {
    this.method = method;
    this.path = path;
    this.headers = headers;
    this.body = body;
    this.mediaType = mediaType;
  }

  /** Returns a caller's request without its hop-by-hop headers and its credentials. */
  static BackendRequest of(CallerExchange caller, RequestTraits traits, byte[] body) {
    HttpFields.Mutable headers = HttpFields.build();
    HttpFields from = caller.request().getHeaders();
    for (HttpField f : from) {
      if (!HopByHopHeaders.isHopByHop(f)
          && !HopByHopHeaders.isConnectionOption(f, from)
          && f.getHeader() != HttpHeader.AUTHORIZATION
          && f.getHeader() != HttpHeader.CONTENT_TYPE) {
        headers.add(f);
      }
    }
    headers.put(RelayHeaders.REQUEST_ID, caller.id().toString());
    headers.put(RelayHeaders.SERVICE_CLASS, traits.serviceClass().id().value());
    int urgency = Math.min(LOWEST_URGENCY, traits.serviceClass().tier().rank());
    headers.put("Priority", "u=" + urgency);
    if (!traits.repeatable()) {
      headers.put(HttpHeader.CONNECTION, "close");
    }
    String mediaType = from.get(HttpHeader.CONTENT_TYPE);
    return new BackendRequest(
        caller.request().getMethod(), traits.backendPath(), headers, body, mediaType);
  }

  /** Returns the backend request of a keyed request, whose headers are all end-to-end. */
  static BackendRequest of(RequestId id, KeyedRequest request) {
    HttpFields.Mutable headers = HttpFields.build();
    request.headers().forEach(h -> headers.add(h.name(), h.value()));
    headers.put(RelayHeaders.REQUEST_ID, id.toString());
    headers.put(RelayHeaders.SERVICE_CLASS, request.serviceClass().value());
    headers.put(HttpHeader.CONNECTION, "close");
    String mediaType = headers.get(HttpHeader.CONTENT_TYPE);
    headers.remove(HttpHeader.CONTENT_TYPE);
    byte[] body = request.body().toByteArray();
    return new BackendRequest(request.method(), request.path(), headers, body, mediaType);
  }

  /** Returns the request that resumes a stream on any engine of the service. */
  static BackendRequest resume(ResumePoint point) {
    HttpFields.Mutable headers = HttpFields.build();
    headers.put(EngineHeaders.STREAM_OFFSET, Long.toString(point.offset()));
    headers.put(EngineHeaders.STREAM_SOURCE, Addresses.format(point.source().address()));
    String path = EngineHeaders.STREAMS_PREFIX + point.streamId() + "/resume";
    return new BackendRequest("POST", path, headers, NO_BODY, null);
  }

  String method() {
    return method;
  }

  String path() {
    return path;
  }

  HttpFields headers() {
    return headers;
  }

  byte[] body() {
    return body;
  }

  boolean hasBody() {
    return body.length > 0 || method.equals("POST") || method.equals("PUT");
  }

  @Nullable String mediaType() {
    return mediaType;
  }
}
