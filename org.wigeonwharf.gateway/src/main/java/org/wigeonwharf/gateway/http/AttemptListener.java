package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * An AttemptListener hears how one send of a request to a backend server goes on.
 *
 * <p>Exactly one of {@link #unreachable}, {@link #complete} and {@link #broken} is the last call;
 * none comes after the attempt was cancelled.
 */
public interface AttemptListener {
  /**
   * No connection could be made, so no byte of the request was sent.
   *
   * @param reason what went wrong
   */
  void unreachable(String reason);

  /**
   * The head of the answer has come.
   *
   * @param status its status
   * @param headers its headers
   */
  void head(int status, HttpHeaders headers);

  /**
   * Bytes of the answer's body have come.
   *
   * @param bytes the next bytes
   */
  void data(byte[] bytes);

  /** The answer is complete. */
  void complete();

  /**
   * The connection ended before the answer was complete; the request may have run.
   *
   * @param reason what went wrong
   */
  void broken(String reason);
}
