package org.wigeonwharf.config;

import java.util.Map;
import java.util.Optional;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.Tier;

/**
 * A complete and validated configuration.
 *
 * @param tiers the tiers by name
 * @param classes the service classes
 * @param services the services with their backend servers
 * @param accounts the client accounts
 */
public record PublishedConfig(
    Map<String, Tier> tiers,
    Map<ClassId, ClassSpec> classes,
    Map<ServiceId, ServiceSpec> services,
    Map<AccountId, AccountSpec> accounts) {
  /** Configuration of a router that has not received any yet. */
  public static final PublishedConfig EMPTY =
      new PublishedConfig(Map.of(), Map.of(), Map.of(), Map.of());

  /**
   * Finds a backend server.
   *
   * @param service the server's service
   * @param server the server's name
   * @return the server, or empty if it is not in this configuration
   */
  public Optional<BackendServer> server(ServiceId service, ServerId server) {
    return Optional.ofNullable(services.get(service)).map(s -> s.servers().get(server));
  }
}
