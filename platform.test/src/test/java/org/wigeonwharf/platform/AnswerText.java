package org.wigeonwharf.platform;

import java.nio.charset.StandardCharsets;

/** Formats the answers of scripted servers. */
final class AnswerText {
  private AnswerText() {}

  /** Formats an answer with a length. */
  static String whole(int status, String id, String body, String... headerLines) {
    return head(status, id, headerLines)
        + "Content-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  /** Formats a signed answer with status 200. */
  static String signed(String id, String body) {
    return whole(200, id, body, WireNames.SIGNATURE + ": signed");
  }

  /** Formats an answer that states that the request did not run. */
  static String refusal(int status, String id, String... headerLines) {
    return head(status, id, headerLines)
        + WireNames.NOT_RUN
        + ": 1\r\nContent-Length: 7\r\n\r\nrefused";
  }

  /** Formats the head of a stream in chunks. */
  static String streamHead(String id) {
    return head(200, id, WireNames.SIGNATURE + ": signed", "Content-Type: text/event-stream")
        + "Transfer-Encoding: chunked\r\n\r\n";
  }

  /** Formats one event as a chunk. */
  static String event(int number) {
    String event = plainEvent(number);
    return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
  }

  /** Formats one event. */
  static String plainEvent(int number) {
    return "id: " + number + "\ndata: event" + number + "\n\n";
  }

  /**
   * Joins the content of chunks, of which none may be the last one.
   *
   * @throws AssertionError if the text is not a sequence of whole chunks or has a last one
   */
  static String contentOfUnendedChunks(String text) {
    StringBuilder content = new StringBuilder();
    int at = 0;
    while (at < text.length()) {
      int lineEnd = text.indexOf("\r\n", at);
      int length = lineEnd < 0 ? 0 : Integer.parseInt(text.substring(at, lineEnd), 16);
      int end = lineEnd + 2 + length;
      if (length == 0 || !text.startsWith("\r\n", end)) {
        throw new AssertionError("an ended or broken sequence of chunks: " + text);
      }
      content.append(text, lineEnd + 2, end);
      at = end + 2;
    }
    return content.toString();
  }

  /** The chunk that ends a stream. */
  static final String STREAM_END = "0\r\n\r\n";

  /** Formats a head without its final empty line; a null id leaves out the request's id. */
  static String head(int status, String id, String... headerLines) {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Reason\r\n");
    if (id != null) {
      text.append(WireNames.REQUEST_ID).append(": ").append(id).append("\r\n");
    }
    for (String line : headerLines) {
      text.append(line).append("\r\n");
    }
    return text.toString();
  }
}
