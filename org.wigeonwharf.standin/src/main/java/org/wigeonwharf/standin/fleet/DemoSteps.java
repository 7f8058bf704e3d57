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

/** DemoSteps are the demo's calls; each prints one line with the verdict and says if it held. */
final class DemoSteps {
  private static final String CHAT = "/v1/chat/completions";
  private static final String BOOKINGS = "/v1/services/booking/bookings";
  private static final String KEYS = "/v1/idempotency-keys";
  private static final String KEY = "Idempotency-Key";
  private static final String CREW_TOKEN = "demo-theatre-royal";
  private static final String VERDICT = "wigeonwharf-verdict";
  private static final String DONE = "data: [DONE]";
  private static final int STREAM_TOKENS = 20;
  private static final int LONG_STREAM_TOKENS = 100;
  private static final long IN_FORCE_SECONDS = 5;
  private static final long EXIT_SECONDS = 30;

  private final DemoFleet demo;
  private final HttpClient http = HttpClient.newHttpClient();
  private final ObjectMapper json = new ObjectMapper();
  private boolean allHeld = true;

  DemoSteps(DemoFleet demo) {
    this.demo = demo;
  }

  boolean run(PrintStream out) throws Exception {
    HttpResponse<String> streamed = chat("vm1", STREAM_TOKENS, true, "crew-question");
    step(out, "streamed question", streamed, 200, "ran", streamed.body().contains(DONE));
    HttpResponse<String> whole = chat("vm3", STREAM_TOKENS, false, "condition-report");
    step(out, "whole report", whole, 200, "ran", whole.body().contains("t19"));
    HttpResponse<String> booked = book("stage left, 9:00");
    step(out, "booking", booked, 201, "ran", actions().size() == 1);
    retryBooking(out);
    HttpResponse<String> refused = chat("vm1", 1, true, "swatch-label-bulk");
    step(out, "refused call", refused, 400, "not-run", true);
    raiseLimit(out);
    stopMidStream(out);
    return allHeld;
  }

  private void raiseLimit(PrintStream out) throws Exception {
    demo.fleet()
        .publishFile(
            "90-raise.toml", "[accounts.theatre-royal.limits]\nrequests_per_second = 500\n");
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(IN_FORCE_SECONDS);
    boolean held = false;
    while (!held && System.nanoTime() < end) {
      held = demo.fleet().routers().values().stream().allMatch(this::hasRevision3);
    }
    print(out, "limit raised by one file", "in force on all routers", held);
  }

  private boolean hasRevision3(Fleet.RouterAddresses a) {
    try {
      JsonNode dump = json.readTree(demo.fleet().get(a.operators(), "/dump"));
      return dump.path("config").path("revision").asLong() == 3;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void stopMidStream(PrintStream out) throws Exception {
    CompletableFuture<HttpResponse<String>> answer =
        http.sendAsync(
            chatRequest("vm2", LONG_STREAM_TOKENS, true, "crew-question"),
            HttpResponse.BodyHandlers.ofString());
    TimeUnit.MILLISECONDS.sleep(400);
    demo.fleet().process("vm2").terminate();
    HttpResponse<String> r = answer.get(EXIT_SECONDS, TimeUnit.SECONDS);
    int exit = demo.fleet().process("vm2").awaitExit(EXIT_SECONDS);
    boolean held = r.body().contains(DONE) && exit >= 0;
    step(out, "router stopped gracefully mid-stream", r, 200, "ran", held);
  }

  private HttpResponse<String> chat(String router, int tokens, boolean stream, String cls)
      throws IOException, InterruptedException {
    return http.send(
        chatRequest(router, tokens, stream, cls), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest chatRequest(String router, int tokens, boolean stream, String cls) {
    String body = "{\"max_tokens\":%d,\"stream\":%b}".formatted(tokens, stream);
    return request(Fleet.uri(demo.callers(router), CHAT), body)
        .header("Wigeonwharf-Class", cls)
        .build();
  }

  private HttpResponse<String> book(String slot) throws IOException, InterruptedException {
    HttpRequest request =
        request(Fleet.uri(demo.callers("vm1"), BOOKINGS), "{\"slot\":\"" + slot + "\"}").build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private void retryBooking(PrintStream out) throws Exception {
    int before = actions().size();
    String key = post("vm1", KEYS, "").headers().firstValue(KEY).orElse("none");
    HttpResponse<String> first = bookWithKey("vm1", key);
    HttpResponse<String> retry = bookWithKey("vm2", key);
    boolean same = first.statusCode() == 201 && first.body().equals(retry.body());
    boolean once = actions().size() == before + 1;
    step(out, "booking retried with its key", retry, 201, "ran", same && once);
  }

  private HttpResponse<String> post(String router, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request = request(Fleet.uri(demo.callers(router), path), body).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> bookWithKey(String router, String key)
      throws IOException, InterruptedException {
    HttpRequest request =
        request(Fleet.uri(demo.callers(router), BOOKINGS), "{\"slot\":\"fly floor, 10:00\"}")
            .header(KEY, key)
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
    return json.readTree(demo.fleet().get(demo.server("b1"), "/control/actions"));
  }

  private void step(
      PrintStream out,
      String name,
      HttpResponse<String> answer,
      int status,
      String verdict,
      boolean more) {
    String seen = answer.headers().firstValue(VERDICT).orElse("none");
    boolean held = answer.statusCode() == status && seen.equals(verdict) && more;
    print(out, name, answer.statusCode() + " " + seen, held);
  }

  private void print(PrintStream out, String name, String seen, boolean held) {
    allHeld &= held;
    out.printf("%-38s %-26s %s%n", name, seen, held ? "as promised" : "NOT AS PROMISED");
  }
}
