package org.wigeonwharf.gateway.placement;

/**
 * A LoadReport is what a backend server said of its load with an answer.
 *
 * @param running requests that it runs
 * @param waiting requests that wait at it
 * @param slots requests that it can run at once
 * @param slowdown how much longer work takes there than usual; 1 is as usual
 */
public record LoadReport(int running, int waiting, int slots, double slowdown) {}
