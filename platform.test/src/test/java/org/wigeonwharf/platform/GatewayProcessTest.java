package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.standin.fleet.FleetProcess;

/**
 * Runs a router process between a client, a store and a backend server. Guards against faults that
 * show only in the assembled process: translated headers, configuration changes, signals and stop.
 */
class GatewayProcessTest {
  private static final long TIMEOUT_SECONDS = 60;
  private static final String CONFIG =
      """
      {"version":%d,"routes":[{"name":"r1","host":"host.example","prefix":"/%s/",
       "kind":"streaming","timeout-ms":60000,"slo-ms":400,"priority":0,"service":"s1",
       "max-attempts":2,"can-resume":false}],
       "services":[{"name":"s1","max-conns":100}],
       "tenants":[{"name":"t1","api-keys":["k1"]}]}
      """
          .strip();

  private final HttpClient http = HttpClient.newHttpClient();
  @TempDir private Path folder;
  private StoreStandIn store;
  private BackendStandIn backend;
  private RouterProcess process;
  private FleetProcess router;

  @BeforeEach
  void start() throws Exception {
    store = new StoreStandIn();
    backend = new BackendStandIn("i-1");
    store.put("op/config", CONFIG.formatted(1, "a"));
    store.putServer("i-1", "s1", backend.address(), "ready");
    process = new RouterProcess(folder, store.address());
    router = process.process();
    router.awaitEvent("server.added");
  }

  @AfterEach
  void stop() throws InterruptedException {
    backend.close();
    store.close();
    process.close();
  }

  private CompletableFuture<HttpResponse<String>> sendRequest(String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + Addresses.format(process.callers()) + path))
            .header(WireNames.REQUEST_ID, "9c41d07be2a35f68")
            .header(WireNames.TIMEOUT, "50000")
            .header(WireNames.ACCOUNT, "forged")
            .header("Authorization", "Bearer k1")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void requestAndAnswerAreForwardedAndTranslated() throws Exception {
    // Routes match the Host header, which the HTTP client derives from the address.
    store.put("op/config", CONFIG.formatted(2, "b").replace("host.example", "127.0.0.1"));
    process.awaitVersion(2);
    HttpResponse<String> r = sendRequest("/b/x?q=1").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(200, r.statusCode(), r.body());
    assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", r.body());
    assertEquals("signed", r.headers().firstValue(WireNames.SIGNATURE).orElse(""));
    BackendStandIn.ReceivedRequest received = backend.received.get(0);
    assertEquals("body", received.body());
    assertEquals("/b/x?q=1", received.exchange().getRequestURI().toString());
    assertEquals("t1", received.header(WireNames.ACCOUNT));
    assertEquals("i-1", received.header(WireNames.EXPECTED_SERVER));
    assertNull(received.header("Authorization"));
    assertTrue(Integer.parseInt(received.header(WireNames.TIMEOUT)) <= 50_000);
  }

  @Test
  void newerVersionRemovesOldRoute() throws Exception {
    store.put("op/config", CONFIG.formatted(2, "b").replace("host.example", "127.0.0.1"));
    process.awaitVersion(2);
    assertEquals(404, sendRequest("/a/x").get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode());
  }

  @Test
  void gracefulStopCompletesAnswersInFlight() throws Exception {
    store.put("op/config", CONFIG.formatted(2, "b").replace("host.example", "127.0.0.1"));
    process.awaitVersion(2);
    backend.hold();
    final CompletableFuture<HttpResponse<String>> answer = sendRequest("/b/x");
    router.awaitEvent("request.sent");
    router.signal("-TERM");
    router.awaitEvent("router.stopping");
    backend.release();
    assertEquals(
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).body());
    assertEquals(0, router.awaitExit(TIMEOUT_SECONDS));
  }

  @Test
  void hangUpSignalReloadsSettingsWithoutRestart() throws Exception {
    process.writeSettings(0.4);
    router.signal("-HUP");
    assertEquals(0.4, router.awaitEvent("settings.reloaded").path("retry_ratio").asDouble(), 1e-9);
    assertEquals(-1, router.awaitExit(0));
  }

  @Test
  void invalidSettingsKeepPreviousSettings() throws Exception {
    Files.writeString(folder.resolve("node.toml"), "name = 3\n[store]\naddress = \"x\"\n");
    router.signal("-HUP");
    router.awaitEvent("settings.refused");
    assertEquals(-1, router.awaitExit(0));
    assertFalse(
        router.log().stream().anyMatch(l -> l.path("event").asText().equals("settings.reloaded")));
  }

  // The store is away while the evacuation lasts, which must not end it.
  @Test
  void evacuatedFailureDomainGetsNoRequestsUntilItsEntryIsRemoved() throws Exception {
    store.put("op/config", CONFIG.formatted(2, "b").replace("host.example", "127.0.0.1"));
    process.awaitVersion(2);
    store.put("op/evacuate/z1", "{}");
    router.awaitEvent("domain.evacuated");
    store.failWith(503);
    router.awaitEvent("store.lost");
    HttpResponse<String> refused = sendRequest("/b/x").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(503, refused.statusCode(), refused.body());
    assertTrue(refused.headers().firstValue("Retry-After").isPresent());
    assertEquals(0, backend.received.size());
    store.delete("op/evacuate/z1");
    store.failWith(0);
    router.awaitEvent("domain.restored");
    HttpResponse<String> served = sendRequest("/b/x").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(200, served.statusCode(), served.body());
  }

  @Test
  void serverThatNamesItsLimitGetsNoMoreRequests() throws Exception {
    store.put("op/config", CONFIG.formatted(2, "b").replace("host.example", "127.0.0.1"));
    process.awaitVersion(2);
    double perSecond = 2;
    int seconds = 6;
    backend.nameLimit(String.valueOf(perSecond));
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    for (int i = 0; i < seconds * 20; i++) {
      answers.add(sendRequest("/b/x"));
      Thread.sleep(50);
    }
    int received = backend.received.size();
    // One and a half times the limit plus five requests in each 4 s, from the first answer on.
    double allowed = 1.5 * perSecond * seconds + 5 * seconds / 4.0;
    assertTrue(received <= allowed, received + " received, allowed " + allowed);
    assertTrue(received >= 0.5 * perSecond * seconds, "idle: " + received + " received");
    for (CompletableFuture<HttpResponse<String>> a : answers) {
      int status = a.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode();
      assertTrue(status == 200 || status == 503, "status " + status);
    }
  }
}
