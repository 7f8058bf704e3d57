package org.wigeonwharf.gateway.placement;

import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * Describes a backend server at the moment of a placement decision.
 *
 * @param server the server
 * @param local true if it runs in the router's own failure domain
 * @param packingRank number of servers in the same failure domain that are filled with
 *     latency-sensitive streams before this one; nearly the same at all routers
 * @param prefixOwner true if rendezvous hashing assigns the prompt's shared prefix to this server;
 *     the same at all routers
 * @param work in-flight work of all known routers at the server
 * @param reportedLoad running plus waiting requests by the server's latest report, or 0 if the
 *     report is stale
 * @param slowdown factor by which work takes longer than usual, decaying to 1 with the report's age
 * @param reportAgeMillis age of the server's latest report; -1 if there is none
 * @param failureRate decaying average of failed answers, from 0 to 1
 * @param state whether the server accepts requests, as far as this router has seen
 * @param cachedTokens leading prompt tokens that are expected in the engine's prefix cache
 * @param cachedElsewhereTokens further prompt tokens that another engine's prefix cache is expected
 *     to hold
 * @param averageSensitivity decaying average, over the last seconds, of the summed latency
 *     sensitivity of its running streams
 * @param longPrefillShare decaying average of whether it had long prompts to prefill in the last
 *     seconds, from 0 for never to 1 for always
 */
public record Candidate(
    BackendServer server,
    boolean local,
    int packingRank,
    boolean prefixOwner,
    ServerWork work,
    int reportedLoad,
    double slowdown,
    long reportAgeMillis,
    double failureRate,
    State state,
    int cachedTokens,
    int cachedElsewhereTokens,
    double averageSensitivity,
    double longPrefillShare) {
  /** Tells whether a server accepts requests, as far as this router has seen. */
  public enum State {
    /** Answers requests. */
    SOUND,
    /** Recently rejected a request because it is full. */
    FULL,
    /** Does not answer, or recently could not be reached. */
    SILENT
  }

  /**
   * Returns the number of requests at the server: the larger of the routers' count and its own
   * report.
   */
  public int load() {
    return Math.max(work.running(), reportedLoad);
  }

  /**
   * Returns the same candidate with a higher load, as far as it leaves a free slot.
   *
   * @param requests number of requests to add
   */
  Candidate withAddedLoad(double requests) {
    int raised = Math.min(load() + (int) Math.round(requests), server.slots() - 1);
    return new Candidate(
        server,
        local,
        packingRank,
        prefixOwner,
        work,
        Math.max(load(), raised),
        slowdown,
        reportAgeMillis,
        failureRate,
        state,
        cachedTokens,
        cachedElsewhereTokens,
        averageSensitivity,
        longPrefillShare);
  }

  /** Tells whether a further request starts on the server immediately, as far as is known. */
  boolean hasFreeSlot() {
    return state == State.SOUND && load() < server.slots();
  }
}
