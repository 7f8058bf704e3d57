package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * An AttemptListener hears how one send of a request to a backend server goes on.
 *
 * <p>Exactly one of {@link #onUnreachable}, {@link #onComplete} and {@link #onConnectionLost} is
 * the last call; none comes after the attempt was cancelled.
 */
public interface AttemptListener {
  /**
   * No connection could be made, so no byte of the request was sent.
   *
   * @param reason what went wrong
   */
  void onUnreachable(String reason);

  /**
   * The head of the answer has come.
   *
   * @param status its status
   * @param headers its headers
   */
  void onHead(int status, HttpHeaders headers);

  /**
   * Bytes of the answer's body have come.
   *
   * @param bytes the next bytes
   */
  void onData(byte[] bytes);

  /** The answer is complete. */
  void onComplete();

  /**
   * The connection ended before the answer was complete; the request may have run.
   *
   * @param reason what went wrong
   */
  void onConnectionLost(String reason);
}
