package org.wigeonwharf.gateway.backend;

/**
 * Describes a run of a backend server that no longer answers at its address.
 *
 * @param id the server's id
 * @param startedAt the start time that it publishes; 0 if it publishes none
 * @param replaced true if another instance answers there, false if connections are refused
 * @param ageNanos time since a router found this out
 */
public record EndedServer(String id, long startedAt, boolean replaced, long ageNanos) {}
