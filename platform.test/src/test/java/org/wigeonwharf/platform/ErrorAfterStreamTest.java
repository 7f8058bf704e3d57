package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against the text or the head of an error within a caller's stream, and against streams
 * that look complete, after a stream has broken off and the next server answers with an error.
 */
class ErrorAfterStreamTest {
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final String ERROR_TEXT = "no such stream here";
  private static final int LARGE = 600 * 1024;

  @TempDir private Path folder;
  private ScriptedFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new ScriptedFleet(folder, TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  private static String errorText(boolean large) {
    return large ? (ERROR_TEXT + "\n").repeat(LARGE / ERROR_TEXT.length()) : ERROR_TEXT;
  }

  /** Checks that a caller got the first two events in one answer that is visibly cut. */
  private static void assertCutAfterTwoEvents(String received) {
    assertEquals(1, received.split("HTTP/1[.]1 ", -1).length - 1, "heads in: " + received);
    assertTrue(received.startsWith("HTTP/1.1 200 "), received);
    assertFalse(received.contains(ERROR_TEXT), "error text in: " + received);
    String body = received.substring(received.indexOf("\r\n\r\n") + 4);
    assertEquals(
        AnswerText.plainEvent(1) + AnswerText.plainEvent(2),
        AnswerText.contentOfUnendedChunks(body));
  }

  @ParameterizedTest
  @CsvSource({
    "400,false,true", "404,true,true", "409,true,false", "422,false,false", "302,false,true",
    "500,false,true", "500,true,true", "500,true,false", "502,false,false", "503,false,true",
    "504,true,true", "429,false,true", "408,false,true"
  })
  void streamIsCutIfTheNextServerAnswersWithAnError(int status, boolean large, boolean withLength)
      throws Exception {
    ScriptedServer.Script script =
        (r, c) -> {
          if (r.header(WireNames.LAST_EVENT_ID) == null) {
            c.write(AnswerText.streamHead(r.id()) + AnswerText.event(1) + AnswerText.event(2));
            Thread.sleep(30);
            c.close();
          } else if (withLength) {
            c.write(AnswerText.whole(status, r.id(), errorText(large)));
          } else {
            c.write(AnswerText.head(status, r.id()) + "\r\n" + errorText(large));
            c.close();
          }
        };
    try (RouterProcess router = fleet.startRouter(2, script);
        KeptConnection c = new KeptConnection(router.callers())) {
      c.send(RequestText.of("/s/x", "q1", TIMEOUT_MILLIS));
      assertCutAfterTwoEvents(c.readToEnd());
      assertTrue(fleet.sends("q1") > 1, "the stream was not resumed");
      try (KeptConnection next = new KeptConnection(router.callers())) {
        next.send(RequestText.of("/t/x", "q2", TIMEOUT_MILLIS));
        assertCutAfterTwoEvents(next.readToEnd());
        assertEquals(1, fleet.sends("q2"), "a stream that may not be resumed");
      }
    }
  }

  @Test
  void largeErrorThatBreaksOffIsNotContinuedByStream() throws Exception {
    ScriptedServer.Script script =
        (r, c) -> {
          if (fleet.sends(r.id()) == 1) {
            c.write(AnswerText.head(500, r.id(), "Content-Length: 2000000") + "\r\n");
            c.write(errorText(true));
            Thread.sleep(50);
            c.reset();
          } else {
            c.write(AnswerText.streamHead(r.id()) + AnswerText.event(1) + AnswerText.STREAM_END);
          }
        };
    try (RouterProcess router = fleet.startRouter(2, script);
        KeptConnection c = new KeptConnection(router.callers())) {
      c.send(RequestText.of("/s/x", "q1", TIMEOUT_MILLIS, "Connection: close"));
      String received = c.readToEnd();
      boolean error = received.startsWith("HTTP/1.1 500 ");
      assertFalse(error && received.contains("event1"), "an error and a stream joined");
      assertFalse(error && received.endsWith("0\r\n\r\n"), "a broken error that looks complete");
      assertTrue(error || received.endsWith(AnswerText.event(1) + AnswerText.STREAM_END), received);
    }
  }
}
