package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that run twice, or are refused though they ran, after servers have
 * written an earlier refusal once more.
 */
class RepeatedRefusalTest {
  private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);
  private static final int TIMEOUT_MILLIS = 3_000;

  @TempDir private Path folder;
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private ScriptedFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new ScriptedFleet(folder, TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  private KeptConnection.Response call(KeptConnection c, String path, String id)
      throws IOException {
    c.send(RequestText.of(path, id, TIMEOUT_MILLIS));
    return c.read();
  }

  /** Counts a run and answers it late, if at all. */
  private void run(ScriptedServer.Request r, ScriptedServer.Connection c)
      throws IOException, InterruptedException {
    runs.merge(r.id(), 1, Integer::sum);
    Thread.sleep(50);
    c.write(AnswerText.signed(r.id(), "ran " + r.id()));
  }

  @ParameterizedTest
  @ValueSource(ints = {503, 429, 421, 408})
  void refusalOfAnotherRequestSaysNothingOfThisOne(int status) throws Exception {
    try (RouterProcess router =
            fleet.startRouter(
                2,
                (r, c) -> {
                  if (r.id().equals("first")) {
                    c.write(AnswerText.refusal(503, "first"));
                    return;
                  }
                  runs.merge(r.id(), 1, Integer::sum);
                  c.write(AnswerText.refusal(status, "first"));
                  Thread.sleep(50);
                  c.write(AnswerText.signed(r.id(), "ran " + r.id()));
                });
        KeptConnection c = new KeptConnection(router.callers())) {
      assertEquals(503, call(c, "/u/x", "first").status());
      for (String path : List.of("/u/x", "/t/x")) {
        String id = "second" + path.charAt(1);
        KeptConnection.Response answer = call(c, path, id);
        assertFalse(PROMISES.contains(answer.status()), path + ": " + answer);
        assertEquals(1, runs.get(id), path);
      }
    }
  }

  @Test
  void refusalWrittenTwiceReachesNoLaterRequest() throws Exception {
    try (RouterProcess router =
            fleet.startRouter(
                1,
                (r, c) -> {
                  // Refuses every second request, twice, without an id as servers may.
                  if (Integer.parseInt(r.id()) % 2 == 1) {
                    c.write(AnswerText.refusal(503, null));
                    c.write(AnswerText.refusal(503, null));
                    Thread.sleep(20);
                    c.write(AnswerText.refusal(503, null));
                  } else {
                    run(r, c);
                  }
                });
        KeptConnection c = new KeptConnection(router.callers())) {
      for (int i = 1; i <= 10; i++) {
        String id = String.valueOf(i);
        KeptConnection.Response answer = call(c, "/u/x", id);
        if (i % 2 == 1) {
          assertEquals(503, answer.status(), id);
          assertFalse(runs.containsKey(id), id);
        } else {
          assertEquals("ran " + id, answer.body(), id);
          assertEquals(1, runs.get(id), id);
        }
      }
      assertTrue(
          fleet.servers().get(0).received.stream().allMatch(r -> r.number() == 1),
          "a connection to a server was used again");
    }
  }

  @Test
  void refusalBehindAnAnswerReachesNobody() throws Exception {
    try (RouterProcess router =
            fleet.startRouter(
                2,
                (r, c) -> {
                  runs.merge(r.id(), 1, Integer::sum);
                  c.write(
                      AnswerText.signed(r.id(), "ran " + r.id()) + AnswerText.refusal(503, "0"));
                });
        KeptConnection c = new KeptConnection(router.callers())) {
      for (int i = 1; i <= 10; i++) {
        String id = String.valueOf(i);
        assertEquals("ran " + id, call(c, "/u/x", id).body());
        assertEquals(1, runs.get(id), id);
      }
    }
  }
}
