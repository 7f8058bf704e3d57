package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Holds a complete request received from a caller.
 *
 * @param method the method
 * @param target the path and query, unchanged
 * @param headers the headers, without hop-by-hop headers
 * @param body the body
 * @param host the value of the Host header
 * @param arrivedAt the time in nanoseconds at which its last byte was read
 */
public record CallerRequest(
    HttpMethod method,
    String target,
    HttpHeaders headers,
    byte[] body,
    String host,
    long arrivedAt) {}
