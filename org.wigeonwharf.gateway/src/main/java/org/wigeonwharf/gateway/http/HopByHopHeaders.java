package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Removes hop-by-hop headers, which apply to one connection only. Also removes Content-Length and
 * Expect, because the router sets the length anew and answers Expect itself.
 */
final class HopByHopHeaders {
  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "Proxy-Connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private HopByHopHeaders() {}

  /**
   * Removes all hop-by-hop headers, including those named by the Connection header except Host.
   *
   * @param headers changed in place
   */
  static void remove(HttpHeaders headers) {
    for (String line : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : line.split(",")) {
        String n = name.strip();
        if (!n.isEmpty() && !HttpHeaderNames.HOST.contentEqualsIgnoreCase(n)) {
          headers.remove(n);
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
