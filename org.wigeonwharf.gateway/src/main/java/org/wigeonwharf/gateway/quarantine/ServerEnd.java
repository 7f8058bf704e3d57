package org.wigeonwharf.gateway.quarantine;

import java.util.Set;

/**
 * Reports that the process of a backend server ended, with the shared prompt parts of the requests
 * that it took along.
 *
 * @param server the server's id
 * @param startedAt its start time in Unix milliseconds, which distinguishes two runs with one id
 * @param answering parts of requests whose answer had just begun and that may have caused the end
 * @param waiting parts of requests that waited for their answer to begin
 * @param running parts of requests whose answer had gone on for a while
 */
public record ServerEnd(
    String server,
    long startedAt,
    Set<String> answering,
    Set<String> waiting,
    Set<String> running) {
  /** Copies the sets. */
  public ServerEnd {
    answering = Set.copyOf(answering);
    waiting = Set.copyOf(waiting);
    running = Set.copyOf(running);
  }
}
