package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/** A CallerChannel takes the answer to one request on its way to the caller. */
public interface CallerChannel {
  /**
   * Sends a whole answer.
   *
   * @param status the status
   * @param headers its headers, without those that concern the connection only
   * @param body its body
   */
  void sendResponse(int status, HttpHeaders headers, byte[] body);

  /**
   * Begins an answer of unknown length.
   *
   * @param status the status
   * @param headers its headers, without those that concern the connection only
   */
  void beginResponse(int status, HttpHeaders headers);

  /**
   * Sends a part of the answer that was begun.
   *
   * @param bytes the next bytes of the body
   */
  void sendBody(byte[] bytes);

  /** Ends the answer that was begun, so that it counts as complete. */
  void endResponse();

  /** Closes the connection, so that an answer that was begun is seen to be incomplete. */
  void abort();
}
