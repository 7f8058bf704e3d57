package org.wigeonwharf.config;

import java.util.Map;
import java.util.Optional;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.Tier;

/**
 * A PublishedConfig is a complete, checked configuration.
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
  /** The configuration of a router that has not yet received one. */
  public static final PublishedConfig EMPTY =
      new PublishedConfig(Map.of(), Map.of(), Map.of(), Map.of());

  /**
   * Finds a backend server.
   *
   * @param service its service
   * @param server its name
   * @return the server, if published
   */
  public Optional<BackendServer> server(ServiceId service, ServerId server) {
    return Optional.ofNullable(services.get(service)).map(s -> s.servers().get(server));
  }
}
