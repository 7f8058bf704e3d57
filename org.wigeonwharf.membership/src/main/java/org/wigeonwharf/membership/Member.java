package org.wigeonwharf.membership;

import org.wigeonwharf.peer.Peer;

/**
 * Describes a router that this process considers live.
 *
 * @param peer the router process
 * @param leaving true if the router is stopping or its VM is about to be removed, and must not be
 *     assigned a scheduler role
 * @param configRevision the configuration revision that the router last reported
 * @param platformContactAgeMillis age of the router's last contact with the platform when it
 *     reported, or -1 for never
 */
public record Member(
    Peer peer, boolean leaving, long configRevision, long platformContactAgeMillis) {}
