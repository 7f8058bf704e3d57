package org.wigeonwharf.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.relay.EngineHeaders;

class EngineStandInTest {
  private static final int LONG = 1_000_000;

  private final EngineStandIn engine =
      new EngineStandIn(new InetSocketAddress("127.0.0.1", 0), 1, 1);
  private final HttpClient http = HttpClient.newHttpClient();

  @BeforeEach
  void start() throws Exception {
    engine.start();
  }

  @AfterEach
  void stop() {
    engine.stop();
  }

  private URI uri(String path) {
    return URI.create("http://" + Addresses.format(engine.address()) + path);
  }

  private CompletableFuture<HttpResponse<String>> ask(int tokens, String priority) {
    HttpRequest request =
        HttpRequest.newBuilder(uri("/v1/chat/completions"))
            .header("Priority", priority)
            .POST(HttpRequest.BodyPublishers.ofString("{\"max_tokens\":" + tokens + "}"))
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private String load() throws Exception {
    HttpRequest request = HttpRequest.newBuilder(uri("/v1/load")).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private void awaitLoad(String part) throws Exception {
    while (!load().contains(part)) {
      Thread.onSpinWait();
    }
  }

  /** Takes the only slot with an endless stream and returns the stream's name. */
  private String occupy() throws Exception {
    String body = "{\"stream\":true,\"max_tokens\":" + LONG + "}";
    HttpRequest request =
        HttpRequest.newBuilder(uri("/v1/chat/completions"))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofInputStream())
        .headers()
        .firstValue(EngineHeaders.STREAM_ID)
        .orElseThrow();
  }

  @Test
  void moreUrgentWorkStartsBeforeWorkThatCameEarlier() throws Exception {
    String first = occupy();
    final CompletableFuture<HttpResponse<String>> patient = ask(LONG, "u=5");
    awaitLoad("\"waiting\":1");
    CompletableFuture<HttpResponse<String>> urgent = ask(1, "u=1");
    awaitLoad("\"waiting\":2");
    URI stream = uri(EngineHeaders.STREAMS_PREFIX + first);
    http.send(
        HttpRequest.newBuilder(stream).DELETE().build(), HttpResponse.BodyHandlers.discarding());
    assertEquals(200, urgent.get().statusCode());
    assertFalse(patient.isDone());
  }

  @Test
  void lateReportShowsWhatWasTrueBefore() throws Exception {
    awaitLoad("\"running\":0");
    ask(LONG, "u=3");
    awaitLoad("\"running\":1");
    engine.setReportLagMillis(3_600_000);
    assertTrue(load().contains("\"running\":0"), load());
  }
}
