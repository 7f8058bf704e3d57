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

/** RouterCommands are the commands that read the state of running routers. */
final class RouterCommands {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final ObjectMapper JSON = new ObjectMapper();

  private RouterCommands() {}

  static int dump(String address, Report report) {
    return read(address)
        .fold(f -> report.faults(List.of(f)), d -> report.result(List.of(d.toPrettyString()), d));
  }

  static int status(List<String> addresses, Report report) {
    List<String> lines = new ArrayList<>();
    List<Map<String, Object>> rows = new ArrayList<>();
    List<Fault> faults = new ArrayList<>();
    for (String a : addresses) {
      read(a)
          .peekLeft(faults::add)
          .forEach(
              d -> {
                lines.add(line(a, d));
                rows.add(row(a, d));
              });
    }
    int code = report.result(lines, Map.of("routers", rows));
    return faults.isEmpty() ? code : report.faults(faults);
  }

  private static String line(String address, JsonNode d) {
    JsonNode config = d.path("config");
    long refused = config.path("refused_revision").asLong();
    return "%s %s revision %d%s, scheduler of %d shards, %d in flight"
        .formatted(
            address,
            d.path("node").asText(),
            config.path("revision").asLong(),
            refused == 0 ? "" : " (refused " + refused + ")",
            d.path("schedule").path("scheduler_of").size(),
            d.path("relay").path("in_flight").asLong());
  }

  private static Map<String, Object> row(String address, JsonNode d) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("address", address);
    row.put("node", d.path("node").asText());
    row.put("revision", d.path("config").path("revision").asLong());
    row.put("refused_revision", d.path("config").path("refused_revision").asLong());
    row.put("scheduler_of", d.path("schedule").path("scheduler_of").size());
    row.put("in_flight", d.path("relay").path("in_flight").asLong());
    return row;
  }

  private static Either<Fault, JsonNode> read(String address) {
    return Try.of(() -> fetch(address))
        .toEither()
        .mapLeft(t -> new Fault(address, "dump", "can't be read: " + t.getMessage()));
  }

  private static JsonNode fetch(String address) throws IOException, InterruptedException {
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
