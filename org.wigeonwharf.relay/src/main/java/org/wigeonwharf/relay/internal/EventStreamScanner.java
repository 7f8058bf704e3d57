package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Counts the events of a server-sent event stream and looks for its terminator, the line {@code
 * data: [DONE]}.
 *
 * <p>Accepts the bytes in chunks of any size and buffers only the first bytes of a line.
 */
final class EventStreamScanner {
  private static final String DATA_FIELD = "data:";
  private static final String DONE = "data: [DONE]";
  private static final String DONE_WITHOUT_SPACE = "data:[DONE]";
  private static final int MAX_KEPT_BYTES = DONE.length() + 1;

  private final byte[] linePrefix = new byte[MAX_KEPT_BYTES];
  private int prefixLength;
  private int events;
  private boolean terminated;

  void feed(ByteBuffer content) {
    ByteBuffer b = content.duplicate();
    while (b.hasRemaining()) {
      feed(b.get());
    }
  }

  private void feed(byte b) {
    if (b == '\n' || b == '\r') {
      endLine();
      return;
    }
    if (prefixLength < MAX_KEPT_BYTES) {
      linePrefix[prefixLength] = b;
      prefixLength++;
    }
  }

  private void endLine() {
    String prefix = new String(linePrefix, 0, prefixLength, StandardCharsets.US_ASCII);
    prefixLength = 0;
    if (prefix.equals(DONE) || prefix.equals(DONE_WITHOUT_SPACE)) {
      terminated = true;
    } else if (prefix.startsWith(DATA_FIELD)) {
      events++;
    }
  }

  /** Returns the number of events so far, without the terminator. */
  int events() {
    return events;
  }

  /** Returns whether the terminator was received. */
  boolean isTerminated() {
    return terminated;
  }
}
