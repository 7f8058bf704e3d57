package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/** An ExchangeProtocol spells what callers, routers and backend servers say in HTTP headers. */
public interface ExchangeProtocol {
  /**
   * Reads a caller's request.
   *
   * @param headers the request's headers
   * @return what they say; broken ones count as absent
   */
  RequestMetadata readRequest(HttpHeaders headers);

  /**
   * Turns a caller's headers into those for a backend server: removes the caller's key and all that
   * only routers may set, then sets it anew.
   *
   * @param headers the request's headers, changed in place
   * @param forwarding what to tell the server
   */
  void writeForwardingHeaders(HttpHeaders headers, ForwardingHeaders forwarding);

  /**
   * Reads the head of an answer.
   *
   * @param status its status
   * @param headers its headers
   * @return what they say
   */
  ResponseMetadata readResponse(int status, HttpHeaders headers);
}
