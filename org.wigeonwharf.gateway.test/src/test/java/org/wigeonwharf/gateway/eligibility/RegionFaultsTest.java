package org.wigeonwharf.gateway.eligibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.route.Account;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.route.ServiceShare;
import org.wigeonwharf.gateway.route.ServiceSpec;

/**
 * Guards against regions that leave requests without a server and of which operators learn late.
 */
class RegionFaultsTest {
  private static final Logger LOG = (Logger) LoggerFactory.getLogger(RegionFaults.class);

  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private final RegionFaults faults = new RegionFaults(() -> List.of("north", "south"));

  @BeforeEach
  void attach() {
    lines.start();
    LOG.addAppender(lines);
  }

  @AfterEach
  void detach() {
    LOG.detachAppender(lines);
  }

  private static AllowedRegions regions(String... names) {
    return AllowedRegions.of(Set.of(names));
  }

  private static RouteTable table(long version, AllowedRegions route, AllowedRegions account) {
    Route r =
        new Route(
            "route",
            "h",
            "/",
            RequestKind.IDEMPOTENT,
            1,
            1,
            0,
            0,
            List.of(new ServiceShare("a", 1)),
            1,
            false,
            route);
    return new RouteTable(
        version,
        List.of(r),
        List.of(new ServiceSpec("a", 1, null)),
        CallerLimits.DEFAULT,
        Map.of("key", new Account("account", OptionalInt.empty(), account)));
  }

  private List<String> events() {
    return lines.list.stream()
        .map(
            l ->
                l.getKeyValuePairs().stream()
                    .map(p -> String.valueOf(p.value))
                    .collect(Collectors.joining(" ")))
        .toList();
  }

  @Test
  void routeAndAccountWithoutCommonRegionAreLoggedOncePerVersion() {
    RouteTable conflicting = table(3, regions("north"), regions("south"));
    faults.check(conflicting);
    faults.check(conflicting);
    assertEquals(List.of("config.regions_conflict 3 1 [route/account]"), events());
    assertEquals(1, faults.conflicts());
    faults.check(table(4, regions("north"), regions("south")));
    assertEquals(2, events().size());
    faults.check(table(5, regions("north"), regions("north", "south")));
    assertEquals(2, events().size());
    assertEquals(0, faults.conflicts());
  }

  @Test
  void regionWithoutFailureDomainIsLogged() {
    faults.check(table(3, regions("nort"), AllowedRegions.ALL));
    assertEquals(List.of("config.regions_unknown 3 [nort]"), events());
  }
}
