package org.wigeonwharf.gateway.eligibility;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.route.Account;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;

/**
 * Reports the requests that a configuration's regions leave without any server. Each version is
 * reported once.
 */
public final class RegionFaults {
  /** Maximum number of route and account pairs that one line names. */
  private static final int MAX_LOGGED_PAIRS = 10;

  private static final Logger LOG = LoggerFactory.getLogger(RegionFaults.class);

  private final Supplier<Collection<String>> knownRegions;
  private long checkedVersion = -1;
  private int conflicts;

  /**
   * Creates an instance that has checked no configuration.
   *
   * @param knownRegions supplies the regions of the failure domains in the settings
   */
  public RegionFaults(Supplier<Collection<String>> knownRegions) {
    this.knownRegions = knownRegions;
  }

  /**
   * Checks a configuration unless it has been checked before.
   *
   * @param table the active configuration
   */
  public void check(RouteTable table) {
    if (table.version() == checkedVersion) {
      return;
    }
    checkedVersion = table.version();
    List<String> excluded = new ArrayList<>();
    Set<String> unknown = new TreeSet<>();
    for (Route r : table.routes()) {
      unknown.addAll(r.regions().names());
      for (Account a : table.accounts()) {
        if (RouteTable.regions(r, a).isEmpty()) {
          excluded.add(r.name() + "/" + a.name());
        }
      }
    }
    table.accounts().forEach(a -> unknown.addAll(a.regions().names()));
    unknown.removeAll(Set.copyOf(knownRegions.get()));
    conflicts = excluded.size();
    if (!excluded.isEmpty()) {
      LOG.atError()
          .addKeyValue("event", "config.regions_conflict")
          .addKeyValue("version", table.version())
          .addKeyValue("pairs", excluded.size())
          .addKeyValue("first", excluded.stream().sorted().limit(MAX_LOGGED_PAIRS).toList())
          .log("routes and accounts have no allowed region in common; their requests are refused");
    }
    if (!unknown.isEmpty()) {
      LOG.atWarn()
          .addKeyValue("event", "config.regions_unknown")
          .addKeyValue("version", table.version())
          .addKeyValue("regions", unknown)
          .log("no failure domain in the settings is in these allowed regions");
    }
  }

  /** Returns the number of route and account pairs without a common region. */
  public int conflicts() {
    return conflicts;
  }
}
