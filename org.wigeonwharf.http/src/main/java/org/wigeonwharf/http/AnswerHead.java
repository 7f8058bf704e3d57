package org.wigeonwharf.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Collects the lines of an answer's head and decides how its body is framed. */
final class AnswerHead {
  /** The status line up to the status, of the current version and the one before. */
  private static final List<String> VERSIONS = List.of("HTTP/1.1 ", "HTTP/1.0 ");

  private static final AsciiString LENGTH_NAME = HttpHeaderNames.CONTENT_LENGTH;
  private static final AsciiString ENCODING_NAME = HttpHeaderNames.TRANSFER_ENCODING;
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
  private static final int STATUS_DIGITS = 3;
  private static final int MAX_DIGIT = 9;
  private static final int FIRST_STATUS = 100;
  private static final int INTERIM_STATUSES = 100;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final List<String> lengths = new ArrayList<>();
  private final List<String> encodings = new ArrayList<>();
  private int status;
  private boolean oldVersion;

  /**
   * Adds the next line.
   *
   * @param bytes the line without its end; not empty
   * @param from index of its first byte
   * @param to index behind its last byte
   * @throws MalformedAnswerException if the line is not allowed there
   */
  void add(byte[] bytes, int from, int to) throws MalformedAnswerException {
    if (status == 0) {
      addStatusLine(bytes, from, to);
      return;
    }
    int colon = AnswerSyntax.checkField(bytes, from, to);
    int nameLength = colon - from;
    if (nameLength != LENGTH_NAME.length() && nameLength != ENCODING_NAME.length()) {
      return;
    }
    String name = AnswerSyntax.text(bytes, from, colon);
    if (LENGTH_NAME.contentEqualsIgnoreCase(name)) {
      lengths.add(AnswerSyntax.text(bytes, colon + 1, to).strip());
    } else if (ENCODING_NAME.contentEqualsIgnoreCase(name)) {
      encodings.add(AnswerSyntax.text(bytes, colon + 1, to).strip());
    }
  }

  private void addStatusLine(byte[] bytes, int from, int to) throws MalformedAnswerException {
    int statusEnd = from + VERSIONS.get(0).length() + STATUS_DIGITS;
    boolean ended = to == statusEnd || to > statusEnd && bytes[statusEnd] == ' ';
    String start = ended ? AnswerSyntax.text(bytes, from, statusEnd) : "";
    oldVersion = start.startsWith(VERSIONS.get(1));
    if (!oldVersion && !start.startsWith(VERSIONS.get(0))) {
      throw new MalformedAnswerException("not a status line");
    }
    AnswerSyntax.checkContent(bytes, statusEnd, to);
    for (int i = statusEnd - STATUS_DIGITS; i < statusEnd; i++) {
      int digit = bytes[i] - '0';
      if (digit < 0 || digit > MAX_DIGIT) {
        throw new MalformedAnswerException("a status that is not a number");
      }
      status = status * (MAX_DIGIT + 1) + digit;
    }
    if (status < FIRST_STATUS || !isInterim() && !HttpAnswers.isFinalStatus(status)) {
      throw new MalformedAnswerException("a status that is not from 100 to 599");
    }
    if (status == SWITCHING_PROTOCOLS) {
      throw new MalformedAnswerException("a change of protocol that was not asked for");
    }
  }

  /** Tells whether this is the head of an interim answer, behind which the final one follows. */
  boolean isInterim() {
    return status < FIRST_STATUS + INTERIM_STATUSES;
  }

  /**
   * Decides how the body is framed.
   *
   * @param method the request's method
   * @return finds the end of the body
   * @throws MalformedAnswerException if there is no head or its framing is ambiguous
   */
  BodyFraming framing(HttpMethod method) throws MalformedAnswerException {
    if (status == 0) {
      throw new MalformedAnswerException("an empty line in place of a status line");
    }
    final String length = checkLength();
    if (!encodings.isEmpty()) {
      checkEncoding();
    }
    boolean withoutBody =
        status == NO_CONTENT || status == NOT_MODIFIED || method.equals(HttpMethod.HEAD);
    if (withoutBody) {
      return new BodyFraming.OfLength(0);
    }
    if (!encodings.isEmpty()) {
      return new ChunkedFraming();
    }
    return length == null
        ? new BodyFraming.UntilClose()
        : new BodyFraming.OfLength(Long.parseLong(length));
  }

  private @Nullable String checkLength() throws MalformedAnswerException {
    if (lengths.isEmpty()) {
      return null;
    }
    String length = lengths.get(0);
    if (lengths.size() > 1 || !LENGTH.matcher(length).matches()) {
      throw new MalformedAnswerException("Content-Length is not one number");
    }
    return length;
  }

  private void checkEncoding() throws MalformedAnswerException {
    boolean chunked =
        encodings.size() == 1
            && AsciiString.contentEqualsIgnoreCase(HttpHeaderValues.CHUNKED, encodings.get(0));
    if (!chunked || !lengths.isEmpty() || oldVersion) {
      throw new MalformedAnswerException("Transfer-Encoding does not give one framing");
    }
  }
}
