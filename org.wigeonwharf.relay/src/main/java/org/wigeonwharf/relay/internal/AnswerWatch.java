package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * An AnswerWatch counts the events of a server-sent event stream and looks for its terminator.
 *
 * <p>It sees the bytes in any split and keeps only a few of them.
 */
final class AnswerWatch {
  private static final byte[] EVENT = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

  private final byte[] line = new byte[DONE.length];
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
      lineLength = 0;
      return;
    }
    if (lineLength < line.length) {
      line[lineLength] = b;
      check(lineLength + 1);
    }
    lineLength++;
  }

  private void check(int length) {
    if (length == EVENT.length && startsWith(EVENT)) {
      events++;
    }
    if (length == DONE.length && startsWith(DONE)) {
      done = true;
      events--;
    }
  }

  private boolean startsWith(byte[] word) {
    for (int i = 0; i < word.length; i++) {
      if (line[i] != word[i]) {
        return false;
      }
    }
    return true;
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
