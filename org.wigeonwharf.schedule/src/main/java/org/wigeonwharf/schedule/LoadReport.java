package org.wigeonwharf.schedule;

/**
 * A backend server's report of its own load.
 *
 * @param running number of requests it was running
 * @param waiting number of requests in its own queue
 * @param ageMillis age of the report in milliseconds
 */
public record LoadReport(int running, int waiting, long ageMillis) {}
