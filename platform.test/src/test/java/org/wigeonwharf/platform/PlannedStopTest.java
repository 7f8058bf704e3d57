package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a planned stop that takes late requests which it then cuts. */
@Timeout(60)
class PlannedStopTest {
  private static final int TIMEOUT_MILLIS = 20_000;

  /** Time in ms from the signal after which requests are late. */
  private static final long LATE_MILLIS = 3_000;

  private static final long ANSWER_MILLIS = 6_000;

  @TempDir private Path folder;
  private ScriptedFleet fleet;

  @BeforeEach
  void start() throws IOException {
    fleet = new ScriptedFleet(folder, TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  @Test
  void lateRequestsAreRefusedUnsentOnEveryKindOfConnection() throws Exception {
    ScriptedServer.Script script =
        (r, c) -> {
          Thread.sleep(ANSWER_MILLIS);
          c.write(AnswerText.signed(r.id(), "done"));
        };
    try (RouterProcess router = fleet.startRouter(2, script);
        KeptConnection busy = new KeptConnection(router.callers());
        KeptConnection reading = new KeptConnection(router.callers())) {
      busy.send(RequestText.of("/u/x", "early", TIMEOUT_MILLIS));
      router.process().awaitEvent("request.sent");
      router.process().signal("-TERM");
      router.process().awaitEvent("router.stopping");
      String half = RequestText.of("/u/x", "half", TIMEOUT_MILLIS);
      reading.send(half.substring(0, half.length() - 2));
      Thread.sleep(LATE_MILLIS);
      busy.send(RequestText.of("/u/x", "behind", TIMEOUT_MILLIS));
      reading.send(half.substring(half.length() - 2));
      assertRefused(reading);
      for (String path : new String[] {"/u/x", "/s/x", "/r/x"}) {
        try (KeptConnection fresh = new KeptConnection(router.callers())) {
          fresh.send(RequestText.of(path, "fresh", TIMEOUT_MILLIS));
          assertRefused(fresh);
        }
      }
      KeptConnection.Response answer = busy.read();
      assertEquals("done", answer.body());
      assertEquals("close", answer.headers().get("connection"));
      assertEquals("", busy.readToEnd(), "a request behind the last answer");
      assertEquals(0, router.process().awaitExit(10));
    }
    assertEquals(1, fleet.sends("early"));
    for (String id : new String[] {"half", "behind", "fresh"}) {
      assertEquals(0, fleet.sends(id), id + " reached a server");
    }
  }

  private static void assertRefused(KeptConnection c) throws IOException {
    KeptConnection.Response response = c.read();
    assertEquals(503, response.status());
    assertEquals("close", response.headers().get("connection"));
    assertTrue(response.headers().containsKey("retry-after"));
  }
}
