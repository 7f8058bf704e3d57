package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Writes the response to one request to its caller. */
public interface CallerChannel {
  /**
   * Sends a complete response.
   *
   * @param status the status
   * @param headers its headers, without hop-by-hop headers
   * @param body its body
   */
  void sendResponse(int status, HttpHeaders headers, byte[] body);

  /**
   * Begins a response of unknown length.
   *
   * @param status the status
   * @param headers its headers, without hop-by-hop headers
   */
  void beginResponse(int status, HttpHeaders headers);

  /**
   * Sends a part of the body of the response that was begun.
   *
   * @param bytes the next bytes of the body
   */
  void sendBody(byte[] bytes);

  /** Ends the response that was begun, marking it as complete. */
  void endResponse();

  /**
   * Closes the connection, so that the caller detects that a response that was begun is incomplete.
   */
  void abort();
}
