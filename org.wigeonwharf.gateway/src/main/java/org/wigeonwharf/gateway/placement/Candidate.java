package org.wigeonwharf.gateway.placement;

import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * A Candidate is a server as placement sees it at one moment.
 *
 * @param server the server
 * @param local true if it runs in the router's own failure domain
 * @param serversAfter how many of the service's servers in its failure domain stand behind it in
 *     the order of ids, alike at all routers
 * @param prefixOwner whether the prompt's shared beginning is read here first if all else is equal,
 *     alike at all routers
 * @param work work that routers have under way there
 * @param reportedLoad running and waiting requests by its own report, or 0 if that is old
 * @param slowdown how much longer work takes there than usual, discounted by the report's age
 * @param reportAgeMillis the age of its report; -1 if it gave none
 * @param failureRate part of its latest answers that failed, from 0 to 1
 * @param state whether it seems to take requests
 * @param cachedTokens leading prompt tokens that it needs not read
 * @param cachedElsewhereTokens prompt tokens beyond those that another engine keeps
 * @param averageSensitivity the tightness of its running streams, averaged over the last seconds
 * @param longPrefillShare part of the last seconds in which it had long prompts to read, from 0 to
 *     1
 */
public record Candidate(
    BackendServer server,
    boolean local,
    int serversAfter,
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
  /** A State says whether a server seems to take requests. */
  public enum State {
    /** It answers. */
    SOUND,
    /** It said a moment ago that it is full. */
    FULL,
    /** It does not answer, or could not be reached a moment ago. */
    SILENT
  }

  /** Returns the larger of what routers know and what the server reports. */
  public int load() {
    return Math.max(work.running(), reportedLoad);
  }
}
