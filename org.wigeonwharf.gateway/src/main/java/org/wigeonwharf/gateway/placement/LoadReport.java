package org.wigeonwharf.gateway.placement;

/**
 * Holds the load that a backend server reported with an answer.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param slots maximum number of concurrent requests
 * @param slowdown factor by which work takes longer than usual; 1 is normal
 */
public record LoadReport(int running, int waiting, int slots, double slowdown) {}
