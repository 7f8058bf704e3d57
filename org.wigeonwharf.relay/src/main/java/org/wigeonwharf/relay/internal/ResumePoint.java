package org.wigeonwharf.relay.internal;

import org.wigeonwharf.config.BackendServer;

/**
 * A ResumePoint is where a broken stream is to be continued.
 *
 * @param streamId the engine's name of the stream
 * @param source the engine that last held the stream
 * @param offset bytes of the stream already forwarded to the caller
 */
record ResumePoint(String streamId, BackendServer source, long offset) {}
