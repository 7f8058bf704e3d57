package org.wigeonwharf.gateway.route;

/**
 * A ServiceShare is the part of a route's requests that one service gets.
 *
 * @param service the service's name
 * @param weight the share relative to the other weights of the route, at least 0
 */
public record ServiceShare(String service, int weight) {}
