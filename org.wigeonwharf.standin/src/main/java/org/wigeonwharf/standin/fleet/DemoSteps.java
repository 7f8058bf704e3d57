package org.wigeonwharf.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs the demo's steps; each prints one line with what was observed and whether it passed. */
final class DemoSteps {
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String BOOKINGS_PATH = "/v1/services/booking/bookings";
  private static final String KEYS_PATH = "/v1/idempotency-keys";
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String CREW_TOKEN = "demo-theatre-royal";
  private static final String VERDICT_HEADER = "wigeonwharf-verdict";
  private static final String DONE_EVENT = "data: [DONE]";
  private static final int STREAM_TOKENS = 20;
  private static final int LONG_STREAM_TOKENS = 100;
  private static final long CONFIG_TIMEOUT_SECONDS = 5;
  private static final long EXIT_TIMEOUT_SECONDS = 30;

  private final DemoFleet demo;
  private final HttpClient http = HttpClient.newHttpClient();
  private final ObjectMapper json = new ObjectMapper();
  private boolean allPassed = true;

  DemoSteps(DemoFleet demo) {
    this.demo = demo;
  }

  /**
   * Runs all steps in order.
   *
   * @param out receives one line per step
   * @return true if every step passed
   * @throws Exception if a request fails without a response
   */
  boolean run(PrintStream out) throws Exception {
    HttpResponse<String> streamed = chat("vm1", STREAM_TOKENS, true, "crew-question");
    checkResponse(
        out, "streamed question", streamed, 200, "ran", streamed.body().contains(DONE_EVENT));
    HttpResponse<String> whole = chat("vm3", STREAM_TOKENS, false, "condition-report");
    checkResponse(out, "whole report", whole, 200, "ran", whole.body().contains("t19"));
    HttpResponse<String> booked = book("stage left, 9:00");
    checkResponse(out, "booking", booked, 201, "ran", actions().size() == 1);
    retryBooking(out);
    HttpResponse<String> refused = chat("vm1", 1, true, "swatch-label-bulk");
    checkResponse(out, "refused call", refused, 400, "not-run", true);
    raiseLimit(out);
    stopRouterMidStream(out);
    return allPassed;
  }

  private void raiseLimit(PrintStream out) throws Exception {
    demo.fleet()
        .publishFile(
            "90-raise.toml", "[accounts.theatre-royal.limits]\nrequests_per_second = 500\n");
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONFIG_TIMEOUT_SECONDS);
    boolean passed = false;
    while (!passed && System.nanoTime() < deadline) {
      passed = demo.fleet().routers().values().stream().allMatch(this::hasRaisedLimit);
    }
    printResult(out, "limit raised by one file", "in force on all routers", passed);
  }

  /** Checks for revision 3: the servers file made revision 2, the raised limit revision 3. */
  private boolean hasRaisedLimit(Fleet.RouterAddresses router) {
    try {
      JsonNode dump = json.readTree(demo.fleet().get(router.operators(), "/dump"));
      return dump.path("config").path("revision").asLong() == 3;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void stopRouterMidStream(PrintStream out) throws Exception {
    CompletableFuture<HttpResponse<String>> pending =
        http.sendAsync(
            chatRequest("vm2", LONG_STREAM_TOKENS, true, "crew-question"),
            HttpResponse.BodyHandlers.ofString());
    TimeUnit.MILLISECONDS.sleep(400);
    demo.fleet().process("vm2").terminate();
    HttpResponse<String> response = pending.get(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    int exitCode = demo.fleet().process("vm2").awaitExit(EXIT_TIMEOUT_SECONDS);
    boolean passed = response.body().contains(DONE_EVENT) && exitCode >= 0;
    checkResponse(out, "router stopped gracefully mid-stream", response, 200, "ran", passed);
  }

  private HttpResponse<String> chat(String router, int tokens, boolean stream, String className)
      throws IOException, InterruptedException {
    return http.send(
        chatRequest(router, tokens, stream, className), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest chatRequest(String router, int tokens, boolean stream, String className) {
    String body = "{\"max_tokens\":%d,\"stream\":%b}".formatted(tokens, stream);
    return request(Fleet.uri(demo.callerAddress(router), CHAT_PATH), body)
        .header("Wigeonwharf-Class", className)
        .build();
  }

  private HttpResponse<String> book(String slot) throws IOException, InterruptedException {
    HttpRequest request =
        request(Fleet.uri(demo.callerAddress("vm1"), BOOKINGS_PATH), "{\"slot\":\"" + slot + "\"}")
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private void retryBooking(PrintStream out) throws Exception {
    int before = actions().size();
    String key = post("vm1", KEYS_PATH, "").headers().firstValue(KEY_HEADER).orElse("none");
    HttpResponse<String> first = bookWithKey("vm1", key);
    HttpResponse<String> retry = bookWithKey("vm2", key);
    boolean same = first.statusCode() == 201 && first.body().equals(retry.body());
    boolean once = actions().size() == before + 1;
    checkResponse(out, "booking retried with its key", retry, 201, "ran", same && once);
  }

  private HttpResponse<String> post(String router, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request = request(Fleet.uri(demo.callerAddress(router), path), body).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> bookWithKey(String router, String key)
      throws IOException, InterruptedException {
    HttpRequest request =
        request(
                Fleet.uri(demo.callerAddress(router), BOOKINGS_PATH),
                "{\"slot\":\"fly floor, 10:00\"}")
            .header(KEY_HEADER, key)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static HttpRequest.Builder request(URI uri, String body) {
    return HttpRequest.newBuilder(uri)
        .header("Authorization", "Bearer " + CREW_TOKEN)
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  private JsonNode actions() throws IOException, InterruptedException {
    return json.readTree(demo.fleet().get(demo.serverAddress("b1"), "/control/actions"));
  }

  private void checkResponse(
      PrintStream out,
      String name,
      HttpResponse<String> response,
      int status,
      String verdict,
      boolean detailsMatch) {
    String actualVerdict = response.headers().firstValue(VERDICT_HEADER).orElse("none");
    boolean passed =
        response.statusCode() == status && actualVerdict.equals(verdict) && detailsMatch;
    printResult(out, name, response.statusCode() + " " + actualVerdict, passed);
  }

  private void printResult(PrintStream out, String name, String observed, boolean passed) {
    allPassed &= passed;
    out.printf("%-38s %-26s %s%n", name, observed, passed ? "as promised" : "NOT AS PROMISED");
  }
}
