package org.wigeonwharf.gateway.route;

import java.util.OptionalInt;

/**
 * Describes a client account, for which callers authenticate with an API key.
 *
 * @param name the account's name, which is forwarded to backend servers
 * @param priority the account's rank, which overrides that of the route; empty if the route's
 *     applies
 * @param regions the regions in which its requests may be served, cached and stored
 */
public record Account(String name, OptionalInt priority, AllowedRegions regions) {}
