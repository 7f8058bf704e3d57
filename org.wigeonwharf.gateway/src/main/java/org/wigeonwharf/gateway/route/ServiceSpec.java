package org.wigeonwharf.gateway.route;

import org.jspecify.annotations.Nullable;

/**
 * Describes the backend servers of one service.
 *
 * @param name the service's name
 * @param maxConnections maximum number of connections that one server accepts from all routers
 *     together
 * @param engine the capacity of each model engine, or null for a plain service
 * @param coldStart how gently its servers have to be started
 */
public record ServiceSpec(
    String name, int maxConnections, @Nullable EngineSpec engine, ColdStart coldStart) {
  /**
   * Creates a service whose servers bear full load from their start.
   *
   * @param name the service's name
   * @param maxConnections maximum number of connections that one server accepts
   * @param engine the capacity of each model engine, or null for a plain service
   */
  public ServiceSpec(String name, int maxConnections, @Nullable EngineSpec engine) {
    this(name, maxConnections, engine, ColdStart.NONE);
  }
}
