package org.wigeonwharf.gateway.route;

import org.jspecify.annotations.Nullable;

/**
 * Describes the backend servers of one service.
 *
 * @param name the service's name
 * @param maxConnections maximum number of connections that one server accepts from all routers
 *     together
 * @param engine the capacity of each model engine, or null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, @Nullable EngineSpec engine) {}
