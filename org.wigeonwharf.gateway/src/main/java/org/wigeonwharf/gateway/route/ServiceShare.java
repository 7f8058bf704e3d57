package org.wigeonwharf.gateway.route;

/**
 * Assigns a share of a route's requests to a service.
 *
 * @param service the service's name
 * @param weight the share relative to the other weights of the route, at least 0
 */
public record ServiceShare(String service, int weight) {}
