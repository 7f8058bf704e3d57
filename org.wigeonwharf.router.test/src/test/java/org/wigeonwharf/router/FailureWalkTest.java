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

/** Goes the documented steps from a request's id to its cause, on logs that routers wrote. */
class FailureWalkTest {
  private static List<JsonNode> read(String name) throws IOException {
    ObjectMapper json = new ObjectMapper();
    List<JsonNode> lines = new ArrayList<>();
    try (InputStream in = FailureWalkTest.class.getResourceAsStream("/walks/" + name)) {
      String text =
          new String(Objects.requireNonNull(in, name).readAllBytes(), StandardCharsets.UTF_8);
      for (String line : text.split("\n")) {
        lines.add(json.readTree(line));
      }
    }
    return lines;
  }

  private static List<JsonNode> where(List<JsonNode> lines, Predicate<JsonNode> fits) {
    return lines.stream().filter(fits).toList();
  }

  private static Predicate<JsonNode> has(String field, String value) {
    return n -> n.path(field).asText().equals(value);
  }

  private static JsonNode last(List<JsonNode> lines) {
    return lines.get(lines.size() - 1);
  }

  private static Instant at(JsonNode line) {
    return Instant.parse(line.path("@timestamp").asText());
  }

  private static Predicate<JsonNode> near(JsonNode line, Duration before, Duration after) {
    return n -> !at(n).isBefore(at(line).minus(before)) && !at(n).isAfter(at(line).plus(after));
  }

  @Test
  void refusalLeadsToServersReplacedWhileTheStoreWasAway() throws IOException {
    List<JsonNode> log = read("refused.jsonl");
    List<JsonNode> own = where(log, has("request", "b19bc24dde003011"));
    JsonNode end = last(own);
    assertEquals("request.refused", end.path("event").asText());
    assertTrue(end.path("reason").asText().startsWith("the retry budget is spent"));

    Predicate<JsonNode> retried = has("event", "request.retried");
    List<JsonNode> spent =
        where(log, retried.and(near(end, Duration.ofSeconds(10), Duration.ZERO)));
    assertTrue(spent.size() > 5, "sends that used the budget up: " + spent.size());
    String server = last(where(own, retried)).path("server").asText();

    JsonNode misdirected =
        last(where(log, has("event", "server.misdirected").and(has("server", server))));
    assertEquals("another instance has its address", misdirected.path("reason").asText());
    JsonNode regained = last(where(log, has("event", "store.regained")));
    assertEquals(11_634, regained.path("away_ms").asInt());
    assertTrue(at(regained).isBefore(at(misdirected)));
  }

  @Test
  void cutLeadsToCrashedServer() throws IOException {
    List<JsonNode> log = read("cut.jsonl");
    List<JsonNode> own = where(log, has("request", "ff892daa6188d6d0"));
    JsonNode end = last(own);
    assertEquals("request.cut", end.path("event").asText());
    assertEquals("connection closed within the answer", end.path("reason").asText());

    Duration moment = Duration.ofMillis(10);
    assertTrue(where(log, has("event", "request.cut").and(near(end, moment, moment))).size() > 3);
    String server = last(where(own, has("event", "request.sent"))).path("server").asText();
    List<JsonNode> after =
        where(log, has("server", server).and(near(end, moment, Duration.ofSeconds(5))));
    assertTrue(
        after.stream().anyMatch(n -> n.path("reason").asText().contains("Connection refused")));
    assertEquals("server.removed", last(after).path("event").asText());
  }

  @Test
  void lateAnswerLeadsToServerThatCrashedInMidStream() throws IOException {
    List<JsonNode> log = read("late.jsonl");
    List<JsonNode> own = where(log, has("request", "e41cee6686195a2e"));
    JsonNode end = last(own);
    assertEquals("request.answered", end.path("event").asText());
    assertEquals(2, end.path("sends").asInt());
    assertTrue(end.path("longest_gap_ms").asInt() > 3 * end.path("first_ms").asInt());

    JsonNode retried = last(where(own, has("event", "request.retried")));
    JsonNode second = last(where(own, has("event", "request.sent")));
    assertTrue(Duration.between(at(retried), at(second)).toMillis() < 2);
    List<JsonNode> after =
        where(
            log,
            has("server", retried.path("server").asText())
                .and(near(retried, Duration.ZERO, Duration.ofSeconds(5))));
    assertTrue(
        after.stream().anyMatch(n -> n.path("reason").asText().contains("Connection refused")));
  }
}
