package org.wigeonwharf.platform;

/** Formats the requests of callers. */
final class RequestText {
  private RequestText() {}

  /** Formats a request with a short body and additional header lines. */
  static String of(String path, String id, int timeoutMillis, String... headerLines) {
    StringBuilder text = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n");
    text.append("Authorization: Bearer " + ConfigurationText.KEY + "\r\nContent-Length: 4\r\n");
    text.append(WireNames.TIMEOUT).append(": ").append(timeoutMillis).append("\r\n");
    text.append(WireNames.REQUEST_ID).append(": ").append(id).append("\r\n");
    for (String line : headerLines) {
      text.append(line).append("\r\n");
    }
    return text + "\r\nbody";
  }
}
