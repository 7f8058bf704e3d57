package org.wigeonwharf.schedule;

/**
 * A LoadReport is what a backend server said of its own load.
 *
 * @param running requests it ran
 * @param waiting requests it had queued
 * @param ageMillis how long ago that was, in milliseconds
 */
public record LoadReport(int running, int waiting, long ageMillis) {}
