package org.wigeonwharf.http;

/** Checks the lines of an answer's head (RFC 9110, section 5; RFC 9112, sections 4 and 5). */
final class AnswerSyntax {
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final int MIN_VISIBLE = 0x21;
  private static final int MAX_ASCII_VISIBLE = 0x7E;
  private static final int MIN_OPAQUE = 0x80;
  private static final int MAX_OPAQUE = 0xFF;

  private AnswerSyntax() {}

  /**
   * Removes the carriage return with which a line ends.
   *
   * @param line the line up to its line feed
   * @return the line without its end
   * @throws MalformedAnswerException if there is no carriage return
   */
  static String withoutLineEnd(CharSequence line) throws MalformedAnswerException {
    int length = line.length();
    if (length == 0 || line.charAt(length - 1) != '\r') {
      throw new MalformedAnswerException("a line ends without a carriage return");
    }
    return line.subSequence(0, length - 1).toString();
  }

  /**
   * Checks a field line.
   *
   * @param line the line without its end
   * @throws MalformedAnswerException if its name is not a token directly followed by a colon, its
   *     value has control characters, or it continues the line before
   */
  static void checkField(String line) throws MalformedAnswerException {
    int colon = line.indexOf(':');
    if (colon <= 0 || !isToken(line.substring(0, colon))) {
      throw new MalformedAnswerException("the name of a field is not a token");
    }
    if (!isFieldContent(line.substring(colon + 1))) {
      throw new MalformedAnswerException("the value of a field has control characters");
    }
  }

  private static boolean isToken(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (!isTokenChar(text.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isTokenChar(char c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || TOKEN_SYMBOLS.indexOf(c) >= 0;
  }

  /** Tells whether a text has only characters that a field's value or a reason may have. */
  static boolean isFieldContent(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      boolean visible =
          c >= MIN_VISIBLE && c <= MAX_ASCII_VISIBLE || c >= MIN_OPAQUE && c <= MAX_OPAQUE;
      if (!visible && c != ' ' && c != '\t') {
        return false;
      }
    }
    return true;
  }
}
