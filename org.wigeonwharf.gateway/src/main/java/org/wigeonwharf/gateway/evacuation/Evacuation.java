package org.wigeonwharf.gateway.evacuation;

import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.FailureDomain;

/**
 * States whether the servers of a failure domain are evacuated as of a position of the store.
 *
 * @param domain the failure domain
 * @param active true if its servers must receive no requests, false if they may again
 * @param position the store's position of the change, or a later one at which it was still so
 */
public record Evacuation(FailureDomain domain, boolean active, StorePosition position) {}
