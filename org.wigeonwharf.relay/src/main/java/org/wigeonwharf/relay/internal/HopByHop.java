package org.wigeonwharf.relay.internal;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;

/** HopByHop knows the header fields that end at a connection and are not relayed. */
final class HopByHop {
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
          "server");

  private HopByHop() {}

  static boolean contains(HttpField field) {
    return NAMES.contains(field.getName().toLowerCase(Locale.ROOT));
  }
}
