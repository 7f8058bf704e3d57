package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;
import org.wigeonwharf.gateway.route.RequestKind;

/**
 * Guards against log events that the table in docs/OPERATIONS.md does not list, and against events
 * and fields in the table that the code does not log, as happens when only one of the two changes.
 */
class LogVocabularyTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final Pattern QUOTED = Pattern.compile("`([a-z_.-]+)`");
  private static final Pattern EVENT_NAME =
      Pattern.compile("(?:\"event\", |line\\(|logChange\\(|log\\(|[?:] )\"([a-z]+[.][a-z_.-]+)\"");
  private static final Pattern LOG_STATEMENT =
      Pattern.compile("\"event\", \"([a-z._-]+)\"(.*?)[.]log\\(");
  private static final Pattern FIELD_NAME = Pattern.compile("addKeyValue\\(\"([a-z_]+)\"");

  /** Events of the program's own interface, which are documented in another table. */
  private static final Set<String> DOCUMENTED_ELSEWHERE = Set.of("router.start.failed");

  private static Map<String, Set<String>> documented() throws IOException {
    String page = Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
    Map<String, Set<String>> table = new HashMap<>();
    for (String row : page.substring(page.indexOf("### Log events")).split("\n")) {
      String[] cells = row.split("[|]", -1);
      if (cells.length == 5) {
        quoted(cells[1]).forEach(e -> table.put(e, quoted(cells[2])));
      }
    }
    return table;
  }

  private static Set<String> quoted(String cell) {
    Set<String> found = new TreeSet<>();
    Matcher m = QUOTED.matcher(cell);
    while (m.find()) {
      found.add(m.group(1));
    }
    return found;
  }

  private static List<String> sources() throws IOException {
    List<String> texts = new ArrayList<>();
    for (String bundle : List.of("org.wigeonwharf.gateway", "org.wigeonwharf.router", "platform")) {
      try (Stream<Path> files = Files.walk(ROOT.resolve(bundle).resolve("src/main"))) {
        for (Path p : files.filter(f -> f.toString().endsWith(".java")).toList()) {
          if (!p.endsWith("Router.java")) {
            texts.add(Files.readString(p));
          }
        }
      }
    }
    return texts;
  }

  @Test
  void everyEventInTheCodeIsDocumented() throws IOException {
    Set<String> documentedEvents = documented().keySet();
    Set<String> undocumentedEvents = new TreeSet<>();
    Set<String> eventsInCode = new HashSet<>(DOCUMENTED_ELSEWHERE);
    for (String text : sources()) {
      Matcher m = EVENT_NAME.matcher(text);
      while (m.find()) {
        eventsInCode.add(m.group(1));
      }
    }
    for (RequestOutcome o : RequestOutcome.values()) {
      eventsInCode.add("request." + o.label());
    }
    eventsInCode.stream()
        .filter(e -> !documentedEvents.contains(e) && !DOCUMENTED_ELSEWHERE.contains(e))
        .forEach(undocumentedEvents::add);
    assertEquals(Set.of(), undocumentedEvents);
    assertEquals(
        Set.of(), missing(documentedEvents, eventsInCode), "documented but not in the code");
  }

  private static Set<String> missing(Set<String> expected, Set<String> actual) {
    Set<String> rest = new TreeSet<>(expected);
    rest.removeAll(actual);
    return rest;
  }

  @Test
  void logLinesInTheCodeHaveDocumentedFields() throws IOException {
    Map<String, Set<String>> table = documented();
    Map<String, Set<String>> missingFields = new TreeMap<>();
    int lines = 0;
    for (String text : sources()) {
      Matcher m = LOG_STATEMENT.matcher(text.replaceAll("\\s+", " "));
      while (m.find()) {
        lines++;
        Set<String> keys = new HashSet<>();
        Matcher k = FIELD_NAME.matcher(m.group(2));
        while (k.find()) {
          keys.add(k.group(1));
        }
        Set<String> missing = missing(table.getOrDefault(m.group(1), Set.of()), keys);
        if (!missing.isEmpty()) {
          missingFields.put(m.group(1), missing);
        }
      }
    }
    assertTrue(lines > 10, "log statements found: " + lines);
    assertEquals(Map.of(), missingFields);
  }

  @Test
  void logLinesOfAllOutcomesHaveDocumentedFields() throws IOException {
    Map<String, Set<String>> table = documented();
    Set<String> logged = new TreeSet<>();
    for (ILoggingEvent e : runEveryOutcome()) {
      Map<String, Object> fields = new HashMap<>();
      for (KeyValuePair p : e.getKeyValuePairs()) {
        fields.put(p.key, p.value);
      }
      String event = String.valueOf(fields.get("event"));
      logged.add(event);
      assertTrue(table.containsKey(event), event);
      assertEquals(Set.of(), missing(table.get(event), fields.keySet()), event);
    }
    table.keySet().stream()
        .filter(e -> e.startsWith("request."))
        .forEach(e -> assertTrue(logged.contains(e), "not logged: " + e));
  }

  private static List<ILoggingEvent> runEveryOutcome() {
    Logger log = (Logger) LoggerFactory.getLogger("org.wigeonwharf.gateway.request");
    ListAppender<ILoggingEvent> lines = new ListAppender<>();
    lines.start();
    log.addAppender(lines);
    try {
      runAnsweredAfterRetry();
      runRefusedAndDenied();
      runCutAndCallerGone();
      runExhaustedBudget();
      runQuarantined();
      runShed();
      runTakenUp();
    } finally {
      log.detachAppender(lines);
    }
    return lines.list;
  }

  private static void runAnsweredAfterRetry() {
    ExchangeFixture fixture = new ExchangeFixture().addServers(2);
    fixture.begin(RequestKind.IDEMPOTENT, new ExchangeFixture.FakeCaller());
    fixture.attempt(0).listener.onConnectionLost("reset");
    fixture.attempt(1).respond(200, "body", TestProtocol.SIGNED);
  }

  private static void runRefusedAndDenied() {
    ExchangeFixture fixture = new ExchangeFixture();
    fixture.begin(RequestKind.IDEMPOTENT, new ExchangeFixture.FakeCaller());
    fixture.timers.advanceMillis(ExchangeFixture.TIMEOUT_MILLIS);
    fixture.begin(
        RequestKind.IDEMPOTENT, new ExchangeFixture.FakeCaller(), TestProtocol.KEY, "unknown");
  }

  private static void runCutAndCallerGone() {
    ExchangeFixture fixture = new ExchangeFixture().addServers(1);
    fixture.begin(RequestKind.STREAM, new ExchangeFixture.FakeCaller());
    fixture.attempt(0).respondHead(200, TestProtocol.SIGNED);
    fixture.attempt(0).respondData("id: 1\ndata: x\n\n");
    fixture.attempt(0).listener.onConnectionLost("reset");
    fixture.begin(RequestKind.UNREPEATABLE, new ExchangeFixture.FakeCaller());
    fixture.attempt(1).listener.onConnectionLost("reset");
    fixture.begin(RequestKind.STREAM, new ExchangeFixture.FakeCaller()).onCallerDisconnected();
  }

  private static void runExhaustedBudget() {
    ExchangeFixture fixture = new ExchangeFixture().addServers(2);
    fixture.budget.setLimits(0, 0);
    fixture.begin(RequestKind.IDEMPOTENT, new ExchangeFixture.FakeCaller());
    fixture.attempt(0).listener.onConnectionLost("reset");
  }

  private static void runTakenUp() {
    ExchangeFixture fixture = new ExchangeFixture().addServers(1);
    fixture.begin(
        RequestKind.RESUMABLE_STREAM,
        new ExchangeFixture.FakeCaller(),
        TestProtocol.LAST_EVENT_ID,
        "1");
    fixture.timers.advanceMillis(2);
  }

  private static void runShed() {
    OverloadSimulation overload = new OverloadSimulation(1, 1, 200, 7);
    overload.load(300, 0, "a0", 100, 2_000);
    overload.load(300, 1, "a1", 100, 2_000);
    overload.timers.advanceMillis(2_000);
  }

  private static void runQuarantined() {
    ExchangeFixture fixture = new ExchangeFixture();
    new EngineSimulation(fixture, "bad", 8);
    for (int i = 0; i < 8; i++) {
      fixture.begin(
          RequestKind.RESUMABLE_STREAM,
          new ExchangeFixture.FakeCaller(),
          TestProtocol.PARTS,
          "bad,own" + i);
      fixture.timers.advanceMillis(1_000);
    }
  }
}
