package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a router process before servers that state in their answers that they leave, or that they
 * want no request for a time, while the store says that they are ready or says nothing.
 */
class ServerNoticesProcessTest {
  private static final int TIMEOUT_MILLIS = 4_000;
  private static final String SIGNED = WireNames.SIGNATURE + ": signed";

  @TempDir private Path folder;
  private final Map<String, List<Long>> reachedAt = new ConcurrentHashMap<>();
  private final Map<String, String> headers = new ConcurrentHashMap<>();
  private ScriptedFleet fleet;
  private int requests;

  @BeforeEach
  void start() throws Exception {
    fleet = new ScriptedFleet(folder, TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  private RouterProcess startRouter(int count) throws Exception {
    return fleet.startRouter(count, id -> (r, c) -> answer(id, r, c));
  }

  /** Answers 503 if the server's header line is a pause, else 200 with that line. */
  private void answer(String id, ScriptedServer.Request r, ScriptedServer.Connection c)
      throws IOException {
    reachedAt.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>()).add(System.nanoTime());
    String line = headers.getOrDefault(id, "");
    if (line.startsWith("Retry-After")) {
      c.write(AnswerText.refusal(503, r.id(), line));
    } else if (line.isEmpty()) {
      c.write(AnswerText.whole(200, r.id(), "ok", SIGNED));
    } else {
      c.write(AnswerText.whole(200, r.id(), "ok", SIGNED, line));
    }
  }

  private KeptConnection.Response call(KeptConnection c) throws IOException {
    c.send(RequestText.of("/u/x", "q" + ++requests, TIMEOUT_MILLIS));
    return c.read();
  }

  private void callUntilReached(KeptConnection c, String id) throws IOException {
    for (int i = 0; reached(id) == 0; i++) {
      assertTrue(i < 200, "no request reaches " + id);
      assertEquals(200, call(c).status());
    }
  }

  private int reached(String id) {
    return reachedAt.getOrDefault(id, List.of()).size();
  }

  // Guards against requests to a server that leaves, though its entry is ready or can't be read.
  @Test
  void serverThatStatesItsLeavingGetsNoMoreRequests() throws Exception {
    try (RouterProcess router = startRouter(2);
        KeptConnection c = new KeptConnection(router.callers())) {
      headers.put("i-1", WireNames.LEAVING + ": 1");
      callUntilReached(c, "i-1");
      headers.put("i-1", "");
      fleet.store.failWith(503);
      int before = reached("i-1");
      for (int i = 0; i < 60; i++) {
        assertEquals(200, call(c).status());
      }
      assertEquals(before, reached("i-1"));
      assertTrue(reached("i-2") >= 60);
    }
  }

  @Test
  void requestsAreRefusedAfterAllServersHaveStatedTheirLeaving() throws Exception {
    try (RouterProcess router = startRouter(2);
        KeptConnection c = new KeptConnection(router.callers())) {
      headers.put("i-1", WireNames.LEAVING + ": 1");
      headers.put("i-2", WireNames.LEAVING + ": 1");
      callUntilReached(c, "i-1");
      callUntilReached(c, "i-2");
      Thread.sleep(2_600);
      int before = reached("i-1") + reached("i-2");
      KeptConnection.Response refused = call(c);
      assertEquals(503, refused.status());
      assertTrue(Double.parseDouble(refused.headers().get("retry-after")) > 0);
      assertEquals(before, reached("i-1") + reached("i-2"));
    }
  }

  // Guards against requests to a server that has turned one away and wants a pause.
  @Test
  void serverThatWantsPauseGetsAtMostTwoRequestsMore() throws Exception {
    try (RouterProcess router = startRouter(2);
        KeptConnection c = new KeptConnection(router.callers())) {
      headers.put("i-1", "Retry-After: 2.5");
      callUntilReached(c, "i-1");
      headers.put("i-1", "");
      long refusedAt = reachedAt.get("i-1").get(0);
      while (System.nanoTime() - refusedAt < 2_900_000_000L) {
        assertEquals(200, call(c).status());
        Thread.sleep(10);
      }
      for (int i = 0; i < 100; i++) {
        assertEquals(200, call(c).status());
      }
      List<Long> times = reachedAt.get("i-1");
      long inPause =
          times.stream()
              .mapToLong(t -> t - refusedAt)
              .filter(t -> t > 500_000_000L && t < 2_500_000_000L)
              .count();
      assertTrue(inPause <= 2, inPause + " requests in the pause");
      assertTrue(times.size() > 1, "no request after the pause");
    }
  }

  @Test
  void unreadablePauseLosesNoServer() throws Exception {
    try (RouterProcess router = startRouter(1)) {
      for (String pause : List.of("soon", "-5", "Sat, 05 Dec 2026 12:00:00 GMT", "1e99", "")) {
        headers.put("i-1", "Retry-After: " + pause);
        try (KeptConnection c = new KeptConnection(router.callers())) {
          assertEquals(503, call(c).status(), pause);
          headers.put("i-1", "");
          Thread.sleep(300);
          assertEquals(200, call(c).status(), pause);
        }
      }
      router.process().awaitEvent("server.pause_unusable");
      assertTrue(router.isAlive());
    }
  }
}
