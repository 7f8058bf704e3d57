package org.wigeonwharf.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Collects the lines of an answer's head and decides how its body is framed. */
final class AnswerHead {
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1[.]([01]) ([0-9]{3})(?: (.*+))?", Pattern.DOTALL);
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
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
   * @param line the line without its end; not empty
   * @throws MalformedAnswerException if the line is not allowed there
   */
  void add(String line) throws MalformedAnswerException {
    if (status == 0) {
      addStatusLine(line);
      return;
    }
    AnswerSyntax.checkField(line);
    int colon = line.indexOf(':');
    String name = line.substring(0, colon);
    String value = line.substring(colon + 1).strip();
    if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
      lengths.add(value);
    } else if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
      encodings.add(value);
    }
  }

  private void addStatusLine(String line) throws MalformedAnswerException {
    Matcher m = STATUS_LINE.matcher(line);
    if (!m.matches()) {
      throw new MalformedAnswerException("not a status line");
    }
    String reason = m.group(3);
    if (reason != null && !AnswerSyntax.isFieldContent(reason)) {
      throw new MalformedAnswerException("the reason has control characters");
    }
    oldVersion = m.group(1).equals("0");
    status = Integer.parseInt(m.group(2));
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
