package org.wigeonwharf.gateway.route;

import java.util.OptionalInt;

/**
 * An Account is a client account that callers prove with a key.
 *
 * @param name the account's name, which backend servers are told
 * @param priority the account's own rank, which goes before the route's, if it has one
 */
public record Account(String name, OptionalInt priority) {}
