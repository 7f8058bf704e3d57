package org.wigeonwharf.relay.internal;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Identifies the headers that apply to a single connection and are not relayed. */
final class HopByHopHeaders {
  private static final Set<String> NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "host",
          "expect",
          "date",
          "server",
          "engine-stream-id",
          "engine-stream-offset",
          "engine-stream-source");

  private HopByHopHeaders() {}

  static boolean isHopByHop(HttpField field) {
    return NAMES.contains(field.getName().toLowerCase(Locale.ROOT));
  }

  /** Returns whether the Connection header of the message lists a field. */
  static boolean isConnectionOption(HttpField field, HttpFields message) {
    return message.contains(HttpHeader.CONNECTION, field.getName().toLowerCase(Locale.ROOT));
  }
}
