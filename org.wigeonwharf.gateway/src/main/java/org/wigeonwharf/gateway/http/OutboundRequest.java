package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Holds a request as it is sent to a backend server.
 *
 * @param method the method
 * @param target the path and query
 * @param headers all headers
 * @param body the body
 */
public record OutboundRequest(HttpMethod method, String target, HttpHeaders headers, byte[] body) {}
