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

/**
 * Checks the priority order and the lagged load report of the engine stand-in.
 *
 * <p>Guards against a stand-in that starts waiting requests in order of arrival only, or that
 * reports the current load although a lag is set.
 */
class EngineStandInTest {
  private static final int LONG_ANSWER_TOKENS = 1_000_000;

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

  private CompletableFuture<HttpResponse<String>> sendCompletion(int tokens, String priority) {
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

  /** Occupies the only slot with a very long stream and returns the stream's identifier. */
  private String occupySlot() throws Exception {
    String body = "{\"stream\":true,\"max_tokens\":" + LONG_ANSWER_TOKENS + "}";
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
  void moreUrgentRequestStartsBeforeEarlierRequest() throws Exception {
    String first = occupySlot();
    final CompletableFuture<HttpResponse<String>> patient =
        sendCompletion(LONG_ANSWER_TOKENS, "u=5");
    awaitLoad("\"waiting\":1");
    CompletableFuture<HttpResponse<String>> urgent = sendCompletion(1, "u=1");
    awaitLoad("\"waiting\":2");
    URI stream = uri(EngineHeaders.STREAMS_PREFIX + first);
    http.send(
        HttpRequest.newBuilder(stream).DELETE().build(), HttpResponse.BodyHandlers.discarding());
    assertEquals(200, urgent.get().statusCode());
    assertFalse(patient.isDone());
  }

  @Test
  void laggedReportShowsEarlierLoad() throws Exception {
    awaitLoad("\"running\":0");
    sendCompletion(LONG_ANSWER_TOKENS, "u=3");
    awaitLoad("\"running\":1");
    engine.setReportLagMillis(3_600_000);
    assertTrue(load().contains("\"running\":0"), load());
  }
}
