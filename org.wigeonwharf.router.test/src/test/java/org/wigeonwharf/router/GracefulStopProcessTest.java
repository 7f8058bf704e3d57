package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.standin.fleet.DemoFleet;
import org.wigeonwharf.standin.fleet.Fleet;

/**
 * Checks that streams in flight end normally when a router is stopped and gets a second termination
 * signal while it drains.
 */
class GracefulStopProcessTest {
  private static final Path CONFIG = Path.of("..", "demo", "config");
  private static final int STREAMS = 6;
  private static final long TIMEOUT_SECONDS = 60;

  private final HttpClient http = HttpClient.newHttpClient();

  @Test
  void secondTerminationSignalDoesNotInterruptStreamsInFlight() throws Exception {
    try (DemoFleet demo = new DemoFleet(CONFIG)) {
      List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        answers.add(http.sendAsync(streamRequest(demo.callerAddress("vm1")), bodyAsText()));
      }
      awaitStreamsStarted(demo);
      demo.fleet().process("vm1").terminate();
      awaitListenerClosed(demo.callerAddress("vm1"));
      demo.fleet().process("vm1").terminate();
      for (CompletableFuture<HttpResponse<String>> a : answers) {
        HttpResponse<String> r = a.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(200, r.statusCode(), r.body());
        assertTrue(r.body().endsWith("data: [DONE]\n\n"), r.body());
      }
      assertTrue(demo.fleet().process("vm1").awaitExit(TIMEOUT_SECONDS) >= 0);
    }
  }

  private static HttpResponse.BodyHandler<String> bodyAsText() {
    return HttpResponse.BodyHandlers.ofString();
  }

  private static HttpRequest streamRequest(InetSocketAddress router) {
    return HttpRequest.newBuilder(Fleet.uri(router, "/v1/chat/completions"))
        .header("Authorization", "Bearer demo-theatre-royal")
        .POST(HttpRequest.BodyPublishers.ofString("{\"max_tokens\":150,\"stream\":true}"))
        .build();
  }

  private static void awaitStreamsStarted(DemoFleet demo) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (startedRequests(demo, "a1") + startedRequests(demo, "a2") < STREAMS) {
      assertTrue(System.nanoTime() < deadlineNanos, "the streams did not start");
      Thread.sleep(10);
    }
  }

  private static void awaitListenerClosed(InetSocketAddress router) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (acceptsConnections(router)) {
      assertTrue(System.nanoTime() < deadlineNanos, "the listener did not close");
      Thread.sleep(10);
    }
  }

  private static boolean acceptsConnections(InetSocketAddress router) {
    try (Socket s = new Socket()) {
      s.connect(router);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private static int startedRequests(DemoFleet demo, String engine)
      throws IOException, InterruptedException {
    String load = demo.fleet().get(demo.serverAddress(engine), "/v1/load");
    return Integer.parseInt(load.replaceAll(".*\"started\":(\\d+).*", "$1"));
  }
}
