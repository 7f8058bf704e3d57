package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.CallerLimits;

/**
 * Rejects requests whose length or target two parties could interpret differently, which would
 * allow request smuggling.
 */
final class RequestValidator {
  private RequestValidator() {}

  /**
   * Validates the head of a request.
   *
   * @param request the head
   * @param limits the limits in force
   * @return the status to reject it with, or null if it is valid
   */
  static @Nullable HttpResponseStatus validate(HttpRequest request, CallerLimits limits) {
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
    }
    HttpHeaders h = request.headers();
    if (!request.uri().startsWith("/") || h.getAll(HttpHeaderNames.HOST).size() != 1) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    if (request.uri().length() > limits.maxHeaderBytes()
        || headerBytes(h) > limits.maxHeaderBytes()) {
      return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    return validateBodyLength(h, limits.maxBodyBytes());
  }

  private static long headerBytes(HttpHeaders h) {
    long bytes = 0;
    for (Map.Entry<String, String> e : h) {
      bytes += e.getKey().length() + e.getValue().length();
    }
    return bytes;
  }

  private static @Nullable HttpResponseStatus validateBodyLength(HttpHeaders h, int maxBodyBytes) {
    List<String> lengths = h.getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> encodings = h.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (lengths.size() > 1 || encodings.size() > 1) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    if (!encodings.isEmpty()) {
      boolean chunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).strip());
      return chunked && lengths.isEmpty() ? null : HttpResponseStatus.BAD_REQUEST;
    }
    if (lengths.isEmpty()) {
      return null;
    }
    String length = lengths.get(0);
    if (!length.matches("[0-9]{1,18}")) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    return Long.parseLong(length) > maxBodyBytes
        ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        : null;
  }
}
