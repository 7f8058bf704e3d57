package org.wigeonwharf.http;

import io.netty.buffer.ByteBuf;

/** A body in chunks (RFC 9112, section 7.1). */
final class ChunkedFraming implements BodyFraming {
  private static final int MAX_SIZE_DIGITS = 8;
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

  private final StringBuilder line = new StringBuilder();
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
        addToLine((char) (in.getByte(at) & 0xFF));
        at++;
      }
    }
    return at - in.readerIndex();
  }

  private void addToLine(char c) throws MalformedAnswerException {
    if (c != '\n') {
      line.append(c);
      if (line.length() > MAX_LINE_BYTES) {
        throw new MalformedAnswerException("a line between chunks is too long");
      }
      return;
    }
    String text = AnswerSyntax.withoutLineEnd(line);
    line.setLength(0);
    switch (state) {
      case SIZE -> endSizeLine(text);
      case DATA_END -> endData(text);
      default -> endTrailer(text);
    }
  }

  private void endSizeLine(String text) throws MalformedAnswerException {
    int digits = 0;
    long size = 0;
    while (digits < text.length() && Character.digit(text.charAt(digits), HEX) >= 0) {
      size = size * HEX + Character.digit(text.charAt(digits), HEX);
      digits++;
      if (digits > MAX_SIZE_DIGITS) {
        throw new MalformedAnswerException("the size of a chunk is too long");
      }
    }
    String extension = text.substring(digits);
    if (digits == 0
        || !(extension.isEmpty() || extension.startsWith(";"))
        || !AnswerSyntax.isFieldContent(extension)) {
      throw new MalformedAnswerException("the size of a chunk is not hexadecimal");
    }
    remaining = size;
    state = size == 0 ? State.TRAILERS : State.DATA;
  }

  private void endData(String text) throws MalformedAnswerException {
    if (!text.isEmpty()) {
      throw new MalformedAnswerException("a chunk is longer than its size");
    }
    state = State.SIZE;
  }

  private void endTrailer(String text) throws MalformedAnswerException {
    if (text.isEmpty()) {
      state = State.ENDED;
      return;
    }
    trailerBytes += text.length();
    if (trailerBytes > MAX_TRAILER_BYTES) {
      throw new MalformedAnswerException("the trailers are too long");
    }
    AnswerSyntax.checkField(text);
  }
}
