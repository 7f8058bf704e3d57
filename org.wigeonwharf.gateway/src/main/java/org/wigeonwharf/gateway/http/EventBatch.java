package org.wigeonwharf.gateway.http;

import org.jspecify.annotations.Nullable;

/**
 * Holds whole events of a stream that were received together, with the lines between them that
 * belong to no event.
 *
 * @param bytes the bytes as received
 * @param events number of events; 0 if there are only other lines
 * @param lastEventId id of the last event that has one, or null
 */
record EventBatch(byte[] bytes, int events, @Nullable String lastEventId) {}
