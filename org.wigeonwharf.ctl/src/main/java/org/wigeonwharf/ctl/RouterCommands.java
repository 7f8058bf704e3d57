package org.wigeonwharf.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.model.Addresses;

/** Implements the commands that read the state of running routers. */
final class RouterCommands {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final ObjectMapper JSON = new ObjectMapper();

  private RouterCommands() {}

  static int dump(String address, Report report) {
    return readDump(address)
        .fold(
            f -> report.printFaults(List.of(f)),
            d -> report.printResult(List.of(d.toPrettyString()), d));
  }

  static int status(List<String> addresses, Report report) {
    List<String> lines = new ArrayList<>();
    List<Map<String, Object>> rows = new ArrayList<>();
    List<Fault> faults = new ArrayList<>();
    for (String a : addresses) {
      readDump(a)
          .peekLeft(faults::add)
          .forEach(
              d -> {
                Status status = Status.fromDump(a, d);
                lines.add(status.line());
                rows.add(status.row());
              });
    }
    return report.printPartialResult(lines, "routers", rows, faults);
  }

  /** Holds the part of a router's dump that describes its role and state in the fleet. */
  private record Status(
      String address,
      String node,
      long revision,
      long refusedRevision,
      boolean reader,
      int schedulerOf,
      boolean draining,
      long inFlight) {
    static Status fromDump(String address, JsonNode dump) {
      JsonNode config = dump.path("config");
      return new Status(
          address,
          dump.path("node").asText(),
          config.path("revision").asLong(),
          config.path("refused_revision").asLong(),
          config.path("reader").asBoolean(),
          dump.path("schedule").path("scheduler_of").size(),
          isDraining(dump),
          dump.path("relay").path("in_flight").asLong());
    }

    private static boolean isDraining(JsonNode dump) {
      for (JsonNode m : dump.path("membership")) {
        if (m.path("node").equals(dump.path("node"))) {
          return m.path("leaving").asBoolean();
        }
      }
      return false;
    }

    String line() {
      return "%s %s revision %d%s, %s, scheduler of %d shards, %s, %d in flight"
          .formatted(
              address,
              node,
              revision,
              refusedRevision == 0 ? "" : " (refused " + refusedRevision + ")",
              reader ? "reader" : "follower",
              schedulerOf,
              draining ? "draining" : "serving",
              inFlight);
    }

    Map<String, Object> row() {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("address", address);
      row.put("node", node);
      row.put("revision", revision);
      row.put("refused_revision", refusedRevision);
      row.put("reader", reader);
      row.put("scheduler_of", schedulerOf);
      row.put("draining", draining);
      row.put("in_flight", inFlight);
      return row;
    }
  }

  private static Either<Fault, JsonNode> readDump(String address) {
    return Try.of(() -> fetchDump(address))
        .toEither()
        .mapLeft(t -> new Fault(address, "dump", "can't be read: " + failureReason(t)));
  }

  /** Returns the exception's message, or its type, as some network exceptions have no message. */
  private static String failureReason(Throwable t) {
    return t.getMessage() == null ? t.getClass().getSimpleName() : t.getMessage();
  }

  private static JsonNode fetchDump(String address) throws IOException, InterruptedException {
    URI uri = URI.create("http://" + Addresses.format(Addresses.parse(address)) + "/dump");
    HttpClient http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    HttpResponse<String> r =
        http.send(
            HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(),
            HttpResponse.BodyHandlers.ofString());
    if (r.statusCode() != 200) {
      throw new IOException("answered " + r.statusCode());
    }
    return JSON.readTree(r.body());
  }
}
