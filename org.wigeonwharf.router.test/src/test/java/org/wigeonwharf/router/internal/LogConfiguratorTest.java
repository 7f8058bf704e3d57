package org.wigeonwharf.router.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.Logger;

/**
 * Checks the log's JSON lines, and that a blocked standard output drops lines and counts them. If
 * logging waited for its reader, a stalled reader would stall requests.
 */
class LogConfiguratorTest {
  private static final int LINES = 10_000;

  private final PrintStream stdout = System.out;
  private final CountDownLatch readerResumed = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  @AfterEach
  void restoreStandardOutput() {
    System.setOut(stdout);
  }

  private LoggerContext createContext() {
    System.setOut(new PrintStream(blockedOutput()));
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    new LogConfigurator().configure(context);
    return context;
  }

  /** Returns a stream that blocks all writes until {@link #readerResumed} opens. */
  private OutputStream blockedOutput() {
    return new OutputStream() {
      @Override
      public void write(int b) throws IOException {
        write(new byte[] {(byte) b}, 0, 1);
      }

      @Override
      public void write(byte[] bytes, int from, int length) {
        while (readerResumed.getCount() > 0) {
          Thread.onSpinWait();
        }
        written.write(bytes, from, length);
      }
    };
  }

  private List<JsonNode> parseLines() throws IOException {
    List<JsonNode> lines = new ArrayList<>();
    for (String line : written.toString(StandardCharsets.UTF_8).split("\n")) {
      lines.add(new ObjectMapper().readTree(line));
    }
    return lines;
  }

  @Test
  @Timeout(60)
  void blockedOutputDropsLinesAndReportsTheirNumber() throws Exception {
    LoggerContext context = createContext();
    Logger log = context.getLogger("test");
    long before = BoundedLogAppender.droppedLines();
    for (int i = 0; i < LINES; i++) {
      log.atInfo().addKeyValue("event", "flood").log("line");
    }
    assertTrue(BoundedLogAppender.droppedLines() > before);
    readerResumed.countDown();
    while (!written.toString(StandardCharsets.UTF_8).contains("log.dropped")) {
      log.info("reader resumed");
    }
    context.stop();
    long reported = parseLines().stream().mapToLong(l -> l.path("lines").asLong()).sum();
    assertEquals(BoundedLogAppender.droppedLines() - before, reported);
  }

  @Test
  void linesAreJsonObjectsWithTheirFields() throws Exception {
    readerResumed.countDown();
    LoggerContext context = createContext();
    context.getLogger("test").atInfo().addKeyValue("event", "e").addKeyValue("n", 3).log("text");
    context.stop();
    JsonNode line = parseLines().get(0);
    assertEquals("e", line.path("event").asText());
    assertEquals(3, line.path("n").asInt());
    assertEquals("INFO", line.path("level").asText());
  }
}
