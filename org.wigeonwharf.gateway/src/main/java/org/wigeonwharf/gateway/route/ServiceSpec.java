package org.wigeonwharf.gateway.route;

import org.jspecify.annotations.Nullable;

/**
 * A ServiceSpec describes the backend servers of one service.
 *
 * @param name the service's name
 * @param maxConnections connections that one server accepts from all routers together
 * @param engine the size of a model engine, or null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, @Nullable EngineSpec engine) {}
