package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * An AnswerWatch counts the events of a server-sent event stream and looks for its terminator, the
 * line {@code data: [DONE]}.
 *
 * <p>It sees the bytes in any split and keeps only a few of them.
 */
final class AnswerWatch {
  private static final String EVENT = "data:";
  private static final String DONE = "data: [DONE]";
  private static final String DONE_WITHOUT_SPACE = "data:[DONE]";
  private static final int KEPT = DONE.length() + 1;

  private final byte[] line = new byte[KEPT];
  private int lineLength;
  private int events;
  private boolean done;

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
    if (lineLength < KEPT) {
      line[lineLength] = b;
      lineLength++;
    }
  }

  private void endLine() {
    String start = new String(line, 0, lineLength, StandardCharsets.US_ASCII);
    lineLength = 0;
    if (start.equals(DONE) || start.equals(DONE_WITHOUT_SPACE)) {
      done = true;
    } else if (start.startsWith(EVENT)) {
      events++;
    }
  }

  /** Returns the events seen, the terminator not counted. */
  int events() {
    return events;
  }

  /** Tells whether the terminator came. */
  boolean isDone() {
    return done;
  }
}
