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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
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
  private static final int THREADS = 4;

  private final PrintStream stdout = System.out;
  private final CountDownLatch readerResumed = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final Set<Thread> ownWriters = new HashSet<>();

  @AfterEach
  void restoreStandardOutput() {
    System.setOut(stdout);
  }

  private LoggerContext createContext() {
    System.setOut(new PrintStream(blockedOutput()));
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    Set<Thread> others = writers();
    new LogConfigurator().configure(context);
    ownWriters.addAll(writers());
    ownWriters.removeAll(others);
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

  private static void flood(Logger log) {
    for (int i = 0; i < LINES; i++) {
      log.atInfo().addKeyValue("event", "flood").log("line");
    }
  }

  private static Set<Thread> writers() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(t -> t.getName().equals("log-writer"))
        .collect(Collectors.toSet());
  }

  /** Stops logging and waits for the writer to end; the stop itself waits a bounded time only. */
  private void stop(LoggerContext context) throws InterruptedException {
    context.stop();
    for (Thread t : ownWriters) {
      t.join();
    }
  }

  private long writtenLines(String event) throws IOException {
    return parseLines().stream().filter(l -> l.path("event").asText().equals(event)).count();
  }

  private long reportedDrops() throws IOException {
    return parseLines().stream().mapToLong(l -> l.path("lines").asLong()).sum();
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
    final long before = BoundedLogAppender.droppedLines();
    flood(log);
    assertTrue(BoundedLogAppender.droppedLines() > before);
    readerResumed.countDown();
    while (!written.toString(StandardCharsets.UTF_8).contains("log.dropped")) {
      log.info("reader resumed");
    }
    stop(context);
    assertEquals(BoundedLogAppender.droppedLines() - before, reportedDrops());
  }

  @Test
  @Timeout(60)
  void linesDroppedSinceTheLastNoticeAreReportedWhenLoggingStops() throws Exception {
    LoggerContext context = createContext();
    Logger log = context.getLogger("test");
    final long before = BoundedLogAppender.droppedLines();
    flood(log);
    readerResumed.countDown();
    stop(context);
    assertEquals(BoundedLogAppender.droppedLines() - before, reportedDrops());
    assertEquals(LINES, writtenLines("flood") + reportedDrops());
  }

  @Test
  @Timeout(60)
  void eachLineIsWrittenOrReportedWhenThreadsLogAtOnce() throws Exception {
    LoggerContext context = createContext();
    Logger log = context.getLogger("test");
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      threads.add(new Thread(() -> flood(log)));
    }
    threads.forEach(Thread::start);
    readerResumed.countDown();
    for (Thread t : threads) {
      t.join();
    }
    stop(context);
    assertEquals((long) THREADS * LINES, writtenLines("flood") + reportedDrops());
  }

  @Test
  void linesAreJsonObjectsWithTheirFields() throws Exception {
    readerResumed.countDown();
    LoggerContext context = createContext();
    context.getLogger("test").atInfo().addKeyValue("event", "e").addKeyValue("n", 3).log("text");
    stop(context);
    JsonNode line = parseLines().get(0);
    assertEquals("e", line.path("event").asText());
    assertEquals(3, line.path("n").asInt());
    assertEquals("INFO", line.path("level").asText());
  }
}
