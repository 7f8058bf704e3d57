package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Creates the error responses that the router generates itself. */
final class ErrorResponses {
  private static final double MILLIS_PER_SECOND = 1_000;

  private ErrorResponses() {}

  /**
   * Creates the headers of an error response.
   *
   * @param retryAfterMillis time after which the caller should retry; 0 or less sets no Retry-After
   *     header
   * @return the headers
   */
  static HttpHeaders headers(long retryAfterMillis) {
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    if (retryAfterMillis > 0) {
      String seconds = String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND);
      h.set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    return h;
  }

  static byte[] body(String reason) {
    return (reason + "\n").getBytes(StandardCharsets.UTF_8);
  }
}
