package org.wigeonwharf.gateway.limit;

import java.util.Collection;

/** Supplies what one router knows of the fleet, for the division of a rate among the routers. */
public interface FleetView {
  /** Returns the number of failure domains that routers may run in; at least 1. */
  int failureDomains();

  /**
   * Returns whether this router has been in contact with others for long enough to know its peers.
   */
  boolean isSettled();

  /** Returns this router's name. */
  String self();

  /** Returns the largest number of other routers that were alive in this failure domain. */
  int maxDomainPeers();

  /** Returns the names of the other live routers in this router's failure domain. */
  Collection<String> domainPeers();
}
