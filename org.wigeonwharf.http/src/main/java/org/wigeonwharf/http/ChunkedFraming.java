package org.wigeonwharf.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** A body in chunks (RFC 9112, section 7.1). */
final class ChunkedFraming implements BodyFraming {
  private static final int MAX_SIZE_DIGITS = 8;
  private static final int INITIAL_LINE_BYTES = 16;
  private static final int MAX_LINE_BYTES = 4_096;
  private static final int MAX_TRAILER_BYTES = 8_192;
  private static final int HEX = 16;

  private enum State {
    SIZE,
    DATA,
    DATA_END,
    TRAILERS,
    ENDED
  }

  private byte[] line = new byte[INITIAL_LINE_BYTES];
  private int lineLength;
  private State state = State.SIZE;
  private long remaining;
  private int trailerBytes;

  @Override
  public int accept(ByteBuf in) throws MalformedAnswerException {
    int at = in.readerIndex();
    while (at < in.writerIndex() && state != State.ENDED) {
      if (state == State.DATA) {
        int n = (int) Math.min(remaining, in.writerIndex() - at);
        remaining -= n;
        at += n;
        state = remaining == 0 ? State.DATA_END : State.DATA;
      } else {
        addToLine(in.getByte(at));
        at++;
      }
    }
    return at - in.readerIndex();
  }

  private void addToLine(byte b) throws MalformedAnswerException {
    if (b != '\n') {
      if (lineLength >= MAX_LINE_BYTES) {
        throw new MalformedAnswerException("a line between chunks is too long");
      }
      if (lineLength == line.length) {
        line = Arrays.copyOf(line, 2 * lineLength);
      }
      line[lineLength] = b;
      lineLength++;
      return;
    }
    int end = AnswerSyntax.endOfLine(line, 0, lineLength);
    lineLength = 0;
    switch (state) {
      case SIZE -> endSizeLine(end);
      case DATA_END -> endData(end);
      default -> endTrailer(end);
    }
  }

  private void endSizeLine(int end) throws MalformedAnswerException {
    int digits = 0;
    long size = 0;
    while (digits < end && Character.digit((char) line[digits], HEX) >= 0) {
      size = size * HEX + Character.digit((char) line[digits], HEX);
      digits++;
      if (digits > MAX_SIZE_DIGITS) {
        throw new MalformedAnswerException("the size of a chunk is too long");
      }
    }
    if (digits == 0 || digits < end && line[digits] != ';') {
      throw new MalformedAnswerException("the size of a chunk is not hexadecimal");
    }
    AnswerSyntax.checkContent(line, digits, end);
    remaining = size;
    state = size == 0 ? State.TRAILERS : State.DATA;
  }

  private void endData(int end) throws MalformedAnswerException {
    if (end > 0) {
      throw new MalformedAnswerException("a chunk is longer than its size");
    }
    state = State.SIZE;
  }

  private void endTrailer(int end) throws MalformedAnswerException {
    if (end == 0) {
      state = State.ENDED;
      return;
    }
    trailerBytes += end;
    if (trailerBytes > MAX_TRAILER_BYTES) {
      throw new MalformedAnswerException("the trailers are too long");
    }
    AnswerSyntax.checkField(line, 0, end);
  }
}
