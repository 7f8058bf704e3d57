package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A CallerRequest is one whole request as a caller sent it.
 *
 * @param method the method
 * @param target the path and query, unchanged
 * @param headers the headers, without those that concern the connection only
 * @param body the body
 * @param host the host that the caller names
 * @param arrivedAt when its last byte was read, in nanoseconds
 */
public record CallerRequest(
    HttpMethod method,
    String target,
    HttpHeaders headers,
    byte[] body,
    String host,
    long arrivedAt) {}
