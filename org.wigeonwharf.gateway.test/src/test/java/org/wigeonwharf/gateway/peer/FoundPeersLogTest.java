package org.wigeonwharf.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/** Checks that each found peer is logged once, and that a whole fleet needs few lines. */
class FoundPeersLogTest {
  private static final long INTERVAL = FoundPeersLog.INTERVAL_MILLIS * Clock.NANOS_PER_MILLI;

  private final FoundPeersLog log = new FoundPeersLog();
  private final ListAppender<ILoggingEvent> lines = new ListAppender<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(FoundPeersLog.class);

  @BeforeEach
  void attach() {
    lines.start();
    logger.addAppender(lines);
  }

  @AfterEach
  void detach() {
    logger.detachAppender(lines);
  }

  private static Object field(ILoggingEvent line, String key) {
    return line.getKeyValuePairs().stream()
        .filter(p -> p.key.equals(key))
        .findFirst()
        .orElseThrow()
        .value;
  }

  @Test
  void fleetIsLoggedInOneLineForEachFailureDomainAndReason() {
    for (int i = 0; i < 90; i++) {
      log.add("vm" + i, new FailureDomain("d" + i % 3), i < 60 ? "listed" : "message", i);
    }
    log.writeDue(INTERVAL - 1);
    assertEquals(List.of(), lines.list);
    log.writeDue(INTERVAL);
    assertEquals(6, lines.list.size());
    assertEquals(90, lines.list.stream().mapToInt(l -> (int) field(l, "count")).sum());
    assertEquals("d0", field(lines.list.get(1), "failure_domain"));
    assertEquals("message", field(lines.list.get(1), "reason"));
    assertEquals(
        "vm60 vm63 vm66 vm69 vm72 vm75 vm78 vm81 vm84 vm87", field(lines.list.get(1), "peers"));
  }

  @Test
  void peersAreLoggedOnceAndLaterOnesAfterTheirOwnInterval() {
    log.add("vm1", new FailureDomain("d"), "listed", 0);
    log.writeDue(INTERVAL);
    log.writeDue(2 * INTERVAL);
    log.add("vm2", new FailureDomain("d"), "listed", 3 * INTERVAL);
    log.writeDue(4 * INTERVAL - 1);
    assertEquals(1, lines.list.size());
    log.writeDue(4 * INTERVAL);
    assertEquals("vm2", field(lines.list.get(1), "peers"));
  }
}
