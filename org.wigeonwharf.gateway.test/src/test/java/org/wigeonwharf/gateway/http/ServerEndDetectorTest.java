package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.quarantine.LossStage;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.quarantine.QuarantineLog;
import org.wigeonwharf.gateway.quarantine.QuarantineState;
import org.wigeonwharf.gateway.quarantine.ServerEnd;
import org.wigeonwharf.model.FailureDomain;

/** Guards against lost connections that are taken for a crash of their server. */
class ServerEndDetectorTest {
  private static final List<String> PARTS = List.of("a", "b");

  private final VirtualTimers timers = new VirtualTimers();
  private final ServerDirectory directory = new ServerDirectory(0);
  private final PromptQuarantine quarantine =
      new PromptQuarantine(new QuarantineLog(new MetricRegistry()), new Random(7), timers.nanos());
  private final List<Consumer<LivenessCheck.Result>> checks = new ArrayList<>();
  private final ServerEndDetector detector =
      new ServerEndDetector(
          directory, (server, callback) -> checks.add(callback), quarantine, timers);

  private static BackendServer server(boolean draining, long startedAt) {
    return new BackendServer(
        "s",
        "service",
        new InetSocketAddress("127.0.0.1", 9),
        new FailureDomain("d"),
        6,
        draining,
        startedAt);
  }

  private List<ServerEnd> reported() {
    return quarantine.state(timers.nanos()).ends().stream()
        .map(QuarantineState.AgedEnd::end)
        .toList();
  }

  @Test
  void serverThatRefusesConnectionsHasEnded() {
    directory.put(server(false, 1));
    detector.recordLost(server(false, 1), PARTS, LossStage.BEGINNING);
    detector.recordLost(server(false, 1), List.of("c"), LossStage.WAITING);
    assertEquals(1, checks.size(), "one check for all lost connections");
    checks.get(0).accept(LivenessCheck.Result.ENDED);
    // With the line feed, a part counts for its answers as a whole.
    Set<String> keys = Set.of("a", "b", "a\n", "b\n");
    assertEquals(List.of(new ServerEnd("s", 1, keys, Set.of("c"), Set.of())), reported());
    detector.recordLost(server(false, 1), List.of("d"), LossStage.BEGINNING);
    detector.recordLost(server(false, 1), List.of("e"), LossStage.RUNNING);
    assertEquals(Set.of("a", "b", "a\n", "b\n", "d", "d\n", "e\n"), reported().get(0).answering());
  }

  @Test
  void liveAndUnreachableServersHaveNotEnded() {
    directory.put(server(false, 1));
    for (LivenessCheck.Result r :
        List.of(LivenessCheck.Result.ALIVE, LivenessCheck.Result.UNKNOWN)) {
      checks.clear();
      detector.recordLost(server(false, 1), PARTS, LossStage.BEGINNING);
      checks.get(0).accept(r);
      assertEquals(List.of(), reported());
    }
  }

  @Test
  void announcedEndsAreNotChecked() {
    detector.recordLost(server(false, 1), PARTS, LossStage.BEGINNING);
    directory.put(server(true, 1));
    detector.recordLost(server(false, 1), PARTS, LossStage.BEGINNING);
    directory.put(server(false, 2));
    detector.recordLost(server(false, 1), PARTS, LossStage.BEGINNING);
    assertTrue(checks.isEmpty());
  }

  @Test
  void requestsWithoutPromptAreNotChecked() {
    directory.put(server(false, 1));
    detector.recordLost(server(false, 1), List.of(), LossStage.WAITING);
    assertTrue(checks.isEmpty());
  }
}
