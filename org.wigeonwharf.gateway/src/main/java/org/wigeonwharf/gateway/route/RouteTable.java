package org.wigeonwharf.gateway.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Holds one published version of all routes, services, accounts and limits. */
public final class RouteTable {
  private final long version;
  private final List<Route> routes;
  private final Map<String, List<Route>> byHost;
  private final Map<String, ServiceSpec> services;
  private final CallerLimits limits;
  private final @Nullable Map<String, Account> byKey;

  /**
   * Creates a table.
   *
   * @param version the published version; a higher one replaces a lower one
   * @param routes all routes
   * @param services all services
   * @param limits limits on callers' requests
   * @param byKey the accounts by API key, or null if no caller needs a key
   * @throws IllegalArgumentException if a route refers to an unknown service
   */
  public RouteTable(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      CallerLimits limits,
      @Nullable Map<String, Account> byKey) {
    this.version = version;
    this.routes = List.copyOf(routes);
    this.byHost = groupByHost(routes);
    this.services = new HashMap<>();
    services.forEach(s -> this.services.put(s.name(), s));
    routes.forEach(this::checkServices);
    this.limits = limits;
    this.byKey = byKey == null ? null : Map.copyOf(byKey);
  }

  private void checkServices(Route route) {
    for (ServiceShare s : route.split()) {
      if (!services.containsKey(s.service())) {
        throw new IllegalArgumentException(
            "route " + route.name() + " refers to unknown service " + s.service());
      }
    }
  }

  private static Map<String, List<Route>> groupByHost(List<Route> routes) {
    Map<String, List<Route>> grouped = new HashMap<>();
    for (Route r : routes) {
      grouped.computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>()).add(r);
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.prefix().length());
    grouped.values().forEach(list -> list.sort(longestFirst));
    return grouped;
  }

  /**
   * Finds the route of a request: the one with the longest matching path prefix for the host.
   *
   * @param host the host of the request, with or without a port
   * @param path the path, with or without a query
   * @return the route, or null if none matches
   */
  public @Nullable Route find(String host, String path) {
    List<Route> routes = byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
    if (routes == null) {
      return null;
    }
    int query = path.indexOf('?');
    String pathOnly = query < 0 ? path : path.substring(0, query);
    for (Route r : routes) {
      if (pathOnly.startsWith(r.prefix())) {
        return r;
      }
    }
    return null;
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
  }

  /**
   * Finds the account of an API key.
   *
   * @param key the caller's key
   * @return the account, or null if the key is unknown
   */
  public @Nullable Account account(String key) {
    return byKey == null ? null : byKey.get(key);
  }

  /**
   * Tells whether callers of routes that are not open need an API key.
   *
   * @return false if the configuration has no accounts at all
   */
  public boolean requiresKeys() {
    return byKey != null;
  }

  /**
   * Finds a service.
   *
   * @param name the service's name
   * @return its description, or null if there is none of that name
   */
  public @Nullable ServiceSpec service(String name) {
    return services.get(name);
  }

  /** Returns all routes, in the order in which they were published. */
  public List<Route> routes() {
    return routes;
  }

  /** Returns all client accounts; empty if there are none. */
  public Set<Account> accounts() {
    return byKey == null ? Set.of() : Set.copyOf(byKey.values());
  }

  /**
   * Returns the regions in which the requests of a route and an account may be served.
   *
   * @param route the route
   * @param account the account, or null if the caller has none
   * @return what both permit
   */
  public static AllowedRegions regions(Route route, @Nullable Account account) {
    return account == null ? route.regions() : route.regions().and(account.regions());
  }

  /** Returns the published version. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers' requests. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the number of routes. */
  public int size() {
    return routes.size();
  }
}
