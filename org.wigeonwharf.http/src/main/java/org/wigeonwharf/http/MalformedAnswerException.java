package org.wigeonwharf.http;

import java.io.IOException;

/** Thrown if the bytes of a server are no HTTP answer. */
public final class MalformedAnswerException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param reason what the protocol doesn't allow
   */
  public MalformedAnswerException(String reason) {
    super(reason);
  }
}
