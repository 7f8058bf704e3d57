package org.wigeonwharf.gateway.feed;

/**
 * Tells how far a router is in contact with the store that passes on what it reads.
 *
 * @param contactAgeNanos time since the store last answered it
 * @param reconnectAgeNanos time since the store answered again after an outage; negative if there
 *     was none
 * @param era the store's era that it reads
 */
public record ReaderState(long contactAgeNanos, long reconnectAgeNanos, long era) {}
