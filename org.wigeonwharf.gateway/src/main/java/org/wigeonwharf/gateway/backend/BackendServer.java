package org.wigeonwharf.gateway.backend;

import java.net.InetSocketAddress;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.FailureDomain;

/**
 * Describes one published backend server.
 *
 * @param id the server's id; usually a new one after a restart
 * @param service the name of the service that it provides
 * @param address the address at which it accepts requests
 * @param domain the failure domain it runs in
 * @param slots maximum number of concurrent requests
 * @param draining true if it is about to stop and must not receive new requests
 * @param startedAt its start time in Unix milliseconds by its own wall clock, which distinguishes
 *     two runs with the same id; 0 if it is not published
 * @param softwareVersion the version of its software; empty if it is not published, which counts as
 *     a version of its own
 * @param coldMillis time in ms for which it stays cold from the moment its entry was written; 0 if
 *     it is warm
 * @param position the store's position of its entry, which tells an entry that was written again
 *     from one that is read again; {@link StorePosition#NONE} if unknown
 */
public record BackendServer(
    String id,
    String service,
    InetSocketAddress address,
    FailureDomain domain,
    int slots,
    boolean draining,
    long startedAt,
    String softwareVersion,
    long coldMillis,
    StorePosition position) {
  /**
   * Creates a server that is warm and publishes no software version.
   *
   * @param id the server's id
   * @param service the name of its service
   * @param address its address
   * @param domain its failure domain
   * @param slots maximum number of concurrent requests
   * @param draining true if it is about to stop
   * @param startedAt its start time in Unix milliseconds, or 0
   */
  public BackendServer(
      String id,
      String service,
      InetSocketAddress address,
      FailureDomain domain,
      int slots,
      boolean draining,
      long startedAt) {
    this(id, service, address, domain, slots, draining, startedAt, "", 0, StorePosition.NONE);
  }

  /** Returns whether a server differs from this one in more than its cold time and position. */
  boolean differsFrom(BackendServer other) {
    return !withCold(0, StorePosition.NONE).equals(other.withCold(0, StorePosition.NONE));
  }

  /**
   * Returns the same server with another cold time.
   *
   * @param millis time in ms for which it stays cold
   * @param entryPosition the store's position of its entry
   */
  public BackendServer withCold(long millis, StorePosition entryPosition) {
    return new BackendServer(
        id,
        service,
        address,
        domain,
        slots,
        draining,
        startedAt,
        softwareVersion,
        millis,
        entryPosition);
  }
}
