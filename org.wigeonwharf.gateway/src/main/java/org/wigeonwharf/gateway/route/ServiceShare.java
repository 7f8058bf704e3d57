package org.wigeonwharf.gateway.route;

/**
 * Assigns a share of a route's requests to a service.
 *
 * @param service the service's name
 * @param weight the share relative to the other weights of the route; 0 for no requests
 */
public record ServiceShare(String service, int weight) {}
