package org.wigeonwharf.relay.internal;

import org.wigeonwharf.config.BackendServer;

/**
 * The position at which an interrupted stream is to be resumed.
 *
 * @param streamId the engine's id of the stream
 * @param source the engine that last had the stream
 * @param offset the number of bytes already forwarded to the caller
 */
record ResumePoint(String streamId, BackendServer source, long offset) {}
