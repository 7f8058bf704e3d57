package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Checks on recorded router logs that the documented diagnosis steps lead from a request id to the
 * cause of its failure. A step fails if the lines lack a field that it selects by.
 */
class FailureDiagnosisTest {
  private static List<JsonNode> readLog(String name) throws IOException {
    ObjectMapper json = new ObjectMapper();
    List<JsonNode> lines = new ArrayList<>();
    try (InputStream in = FailureDiagnosisTest.class.getResourceAsStream("/walks/" + name)) {
      String text =
          new String(Objects.requireNonNull(in, name).readAllBytes(), StandardCharsets.UTF_8);
      for (String line : text.split("\n")) {
        lines.add(json.readTree(line));
      }
    }
    return lines;
  }

  private static List<JsonNode> select(List<JsonNode> lines, Predicate<JsonNode> predicate) {
    return lines.stream().filter(predicate).toList();
  }

  private static Predicate<JsonNode> hasField(String field, String value) {
    return n -> n.path(field).asText().equals(value);
  }

  private static JsonNode last(List<JsonNode> lines) {
    return lines.get(lines.size() - 1);
  }

  private static Instant timestamp(JsonNode line) {
    return Instant.parse(line.path("@timestamp").asText());
  }

  private static Predicate<JsonNode> isWithin(JsonNode line, Duration before, Duration after) {
    return n ->
        !timestamp(n).isBefore(timestamp(line).minus(before))
            && !timestamp(n).isAfter(timestamp(line).plus(after));
  }

  @Test
  void refusalIsTracedToServersReplacedDuringStoreOutage() throws IOException {
    List<JsonNode> log = readLog("refused.jsonl");
    List<JsonNode> requestLines = select(log, hasField("request", "b19bc24dde003011"));
    JsonNode end = last(requestLines);
    assertEquals("request.refused", end.path("event").asText());
    assertTrue(end.path("reason").asText().startsWith("the retry budget is spent"));

    Predicate<JsonNode> retried = hasField("event", "request.retried");
    List<JsonNode> recentRetries =
        select(log, retried.and(isWithin(end, Duration.ofSeconds(10), Duration.ZERO)));
    assertTrue(
        recentRetries.size() > 5, "retries that used up the budget: " + recentRetries.size());
    String server = last(select(requestLines, retried)).path("server").asText();

    JsonNode misdirected =
        last(select(log, hasField("event", "server.misdirected").and(hasField("server", server))));
    assertEquals("another instance has its address", misdirected.path("reason").asText());
    JsonNode regained = last(select(log, hasField("event", "store.regained")));
    assertEquals(11_634, regained.path("away_ms").asInt());
    assertTrue(timestamp(regained).isBefore(timestamp(misdirected)));
  }

  @Test
  void truncatedResponseIsTracedToCrashedServer() throws IOException {
    List<JsonNode> log = readLog("cut.jsonl");
    List<JsonNode> requestLines = select(log, hasField("request", "ff892daa6188d6d0"));
    JsonNode end = last(requestLines);
    assertEquals("request.cut", end.path("event").asText());
    assertEquals("connection closed within the answer", end.path("reason").asText());

    Duration margin = Duration.ofMillis(10);
    assertTrue(
        select(log, hasField("event", "request.cut").and(isWithin(end, margin, margin))).size()
            > 3);
    String server =
        last(select(requestLines, hasField("event", "request.sent"))).path("server").asText();
    List<JsonNode> after =
        select(log, hasField("server", server).and(isWithin(end, margin, Duration.ofSeconds(5))));
    assertTrue(
        after.stream().anyMatch(n -> n.path("reason").asText().contains("Connection refused")));
    assertEquals("server.removed", last(after).path("event").asText());
  }

  @Test
  void lateResponseIsTracedToServerThatCrashedMidStream() throws IOException {
    List<JsonNode> log = readLog("late.jsonl");
    List<JsonNode> requestLines = select(log, hasField("request", "e41cee6686195a2e"));
    JsonNode end = last(requestLines);
    assertEquals("request.answered", end.path("event").asText());
    assertEquals(2, end.path("sends").asInt());
    assertTrue(end.path("longest_gap_ms").asInt() > 3 * end.path("first_ms").asInt());

    JsonNode retried = last(select(requestLines, hasField("event", "request.retried")));
    JsonNode secondSend = last(select(requestLines, hasField("event", "request.sent")));
    assertTrue(Duration.between(timestamp(retried), timestamp(secondSend)).toMillis() < 2);
    List<JsonNode> after =
        select(
            log,
            hasField("server", retried.path("server").asText())
                .and(isWithin(retried, Duration.ZERO, Duration.ofSeconds(5))));
    assertTrue(
        after.stream().anyMatch(n -> n.path("reason").asText().contains("Connection refused")));
  }
}
