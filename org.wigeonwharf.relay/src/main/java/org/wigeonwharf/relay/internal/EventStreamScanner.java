package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * An AnswerWatch counts the events of a server-sent event stream and looks for its terminator, the
 * line {@code data: [DONE]}.
 *
 * <p>It sees the bytes in any split and keeps only a few of them.
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

  void scan(ByteBuffer content) {
    ByteBuffer b = content.duplicate();
    while (b.hasRemaining()) {
      scan(b.get());
    }
  }

  private void scan(byte b) {
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

  /** Returns the events seen, the terminator not counted. */
  int events() {
    return events;
  }

  /** Tells whether the terminator came. */
  boolean isTerminated() {
    return terminated;
  }
}
