package org.wigeonwharf.gateway.stream;

import org.jspecify.annotations.Nullable;

/**
 * Describes a request by which a caller continues a stream that was broken off.
 *
 * @param service the name of the service that the request goes to
 * @param resumedRequestId id of the caller's attempt that received the first event, or null if the
 *     caller does not name it
 * @param maxAgeNanos maximum time in nanoseconds since the stream can have begun
 * @param arrivedAt time in nanoseconds at which this router received the request
 */
public record StreamResumption(
    String service, @Nullable String resumedRequestId, long maxAgeNanos, long arrivedAt) {}
