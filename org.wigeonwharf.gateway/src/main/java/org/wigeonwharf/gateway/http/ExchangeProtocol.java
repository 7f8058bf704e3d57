package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Reads and writes the HTTP headers exchanged between callers, routers and backend servers. */
public interface ExchangeProtocol {
  /**
   * Reads the metadata of a caller's request.
   *
   * @param headers the request's headers
   * @return the metadata; malformed headers count as absent
   */
  RequestMetadata readRequest(HttpHeaders headers);

  /**
   * Converts a caller's headers to those for a backend server: removes the caller's API key and all
   * headers that only routers may set, then sets the latter.
   *
   * @param headers the request's headers, changed in place
   * @param forwarding the values to set
   */
  void writeForwardingHeaders(HttpHeaders headers, ForwardingHeaders forwarding);

  /**
   * Reads the metadata of a response.
   *
   * @param status the response's status
   * @param headers the response's headers
   * @return the metadata
   */
  ResponseMetadata readResponse(int status, HttpHeaders headers);
}
