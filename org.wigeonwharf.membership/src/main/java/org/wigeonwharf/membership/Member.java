package org.wigeonwharf.membership;

import org.wigeonwharf.peer.Peer;

/**
 * A Member is a router that this process holds for live.
 *
 * @param peer the process
 * @param leaving true if it must get no scheduler role
 * @param configRevision the configuration revision it last told of
 * @param platformContactAgeMillis how long ago it last heard from the platform, or -1 for never
 */
public record Member(
    Peer peer, boolean leaving, long configRevision, long platformContactAgeMillis) {}
