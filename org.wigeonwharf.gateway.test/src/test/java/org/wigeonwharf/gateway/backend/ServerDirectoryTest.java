package org.wigeonwharf.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards against live servers that are dropped because their entries expired during a store outage,
 * and against requests to servers that are draining, removed or replaced at their address.
 */
class ServerDirectoryTest {
  private static final long GRACE_NANOS = 100;

  private final ServerDirectory directory = new ServerDirectory(GRACE_NANOS);

  private static BackendServer server(String id, int port, boolean draining, long startedAt) {
    return new BackendServer(
        id,
        "service",
        new InetSocketAddress("127.0.0.1", port),
        new FailureDomain("d"),
        6,
        draining,
        startedAt);
  }

  private List<String> usable() {
    return directory.usable("service").stream().map(BackendServer::id).toList();
  }

  @Test
  void drainingAndWithdrawnServersAreNotUsed() {
    directory.put(server("a", 1, false, 1));
    directory.put(server("b", 2, false, 1));
    directory.put(server("a", 1, true, 1));
    assertEquals(List.of("b"), usable());
    directory.withdraw("b", 0);
    assertTrue(usable().isEmpty());
  }

  @Test
  void expiredEntryStaysInUseForTheReconnectGracePeriod() {
    directory.put(server("a", 1, false, 1));
    directory.recordStoreReconnected(1_000);
    directory.replaceAll(List.of(), 1_010);
    assertEquals(List.of("a"), usable());
    directory.expireUnconfirmed(1_000 + GRACE_NANOS - 1);
    assertEquals(List.of("a"), usable());
    directory.expireUnconfirmed(1_000 + GRACE_NANOS);
    assertTrue(usable().isEmpty());
  }

  @Test
  void entryConfirmedWithinTheGracePeriodStays() {
    directory.put(server("a", 1, false, 1));
    directory.recordStoreReconnected(1_000);
    directory.withdraw("a", 1_010);
    directory.put(server("a", 1, false, 1));
    directory.expireUnconfirmed(5_000);
    assertEquals(List.of("a"), usable());
  }

  @Test
  void expiredDrainingServerIsRemovedAtOnce() {
    directory.put(server("a", 1, true, 1));
    directory.recordStoreReconnected(1_000);
    directory.withdraw("a", 1_010);
    assertTrue(directory.all().isEmpty());
  }

  @Test
  void misdirectedServerIsUsedAgainAfterRestartOrAddressChange() {
    directory.put(server("a", 1, false, 1));
    directory.markMisdirected("a");
    directory.put(server("a", 1, false, 1));
    assertTrue(usable().isEmpty());
    directory.put(server("a", 1, false, 2));
    assertEquals(List.of("a"), usable());
    directory.markMisdirected("a");
    directory.put(server("a", 7, false, 2));
    assertEquals(List.of("a"), usable());
  }
}
