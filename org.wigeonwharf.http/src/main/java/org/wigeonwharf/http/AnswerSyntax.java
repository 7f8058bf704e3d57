package org.wigeonwharf.http;

import java.nio.charset.StandardCharsets;

/** Checks the lines of an answer's head (RFC 9110, section 5; RFC 9112, sections 4 and 5). */
final class AnswerSyntax {
  private static final int BYTE_VALUES = 256;
  private static final int MIN_VISIBLE = 0x21;
  private static final int DELETE = 0x7F;
  private static final boolean[] TOKEN = new boolean[BYTE_VALUES];
  private static final boolean[] FIELD_CONTENT = new boolean[BYTE_VALUES];

  static {
    String token = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_`|~";
    for (int i = 0; i < token.length(); i++) {
      TOKEN[token.charAt(i)] = true;
    }
    for (int c = MIN_VISIBLE; c < BYTE_VALUES; c++) {
      FIELD_CONTENT[c] = c != DELETE;
    }
    FIELD_CONTENT[' '] = true;
    FIELD_CONTENT['\t'] = true;
  }

  private AnswerSyntax() {}

  /**
   * Finds the end of a line's content.
   *
   * @param bytes the line, up to its line feed
   * @param from index of its first byte
   * @param to index of its line feed
   * @return index of the carriage return with which it ends
   * @throws MalformedAnswerException if there is no carriage return
   */
  static int endOfLine(byte[] bytes, int from, int to) throws MalformedAnswerException {
    if (to <= from || bytes[to - 1] != '\r') {
      throw new MalformedAnswerException("a line ends without a carriage return");
    }
    return to - 1;
  }

  /**
   * Checks a field line.
   *
   * @param bytes the line without its end
   * @param from index of its first byte
   * @param to index behind its last byte
   * @return index of the colon behind its name
   * @throws MalformedAnswerException if its name is not a token directly followed by a colon, its
   *     value has control characters, or it continues the line before
   */
  static int checkField(byte[] bytes, int from, int to) throws MalformedAnswerException {
    int colon = from;
    while (colon < to && TOKEN[bytes[colon] & 0xFF]) {
      colon++;
    }
    if (colon == from || colon == to || bytes[colon] != ':') {
      throw new MalformedAnswerException("the name of a field is not a token");
    }
    checkContent(bytes, colon + 1, to);
    return colon;
  }

  /**
   * Checks that bytes may stand in a field's value or a reason.
   *
   * @param bytes holds the bytes
   * @param from index of the first byte
   * @param to index behind the last byte
   * @throws MalformedAnswerException if one of them is a control character
   */
  static void checkContent(byte[] bytes, int from, int to) throws MalformedAnswerException {
    for (int i = from; i < to; i++) {
      if (!FIELD_CONTENT[bytes[i] & 0xFF]) {
        throw new MalformedAnswerException("a control character in a line");
      }
    }
  }

  /** Returns bytes as text, one character for each. */
  static String text(byte[] bytes, int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }
}
