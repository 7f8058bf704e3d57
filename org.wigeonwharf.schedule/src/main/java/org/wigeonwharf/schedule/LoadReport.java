package org.wigeonwharf.schedule;

/**
 * The load that a backend server reported of itself.
 *
 * @param running number of requests it was running
 * @param waiting number of requests in its own queue
 * @param ageMillis age of the report in milliseconds
 */
public record LoadReport(int running, int waiting, long ageMillis) {}
