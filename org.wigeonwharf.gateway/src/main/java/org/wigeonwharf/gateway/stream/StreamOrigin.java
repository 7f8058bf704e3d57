package org.wigeonwharf.gateway.stream;

/**
 * States which software version wrote the events of a stream that a caller has.
 *
 * @param requestId id of the caller's attempt that received the stream's first event
 * @param service the name of the service whose servers wrote them
 * @param softwareVersion the software version of these servers
 * @param ageNanos time since the stream was last begun or resumed, in nanoseconds
 */
public record StreamOrigin(
    String requestId, String service, String softwareVersion, long ageNanos) {}
