package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.standin.fleet.DemoFleet;
import org.wigeonwharf.standin.fleet.Fleet;

/**
 * Checks that a streamed request passes end to end through the processes of the demo fleet. Guards
 * against faults in the wiring, which tests of single packages don't find.
 */
class DemoProcessTest {
  private static final Path CONFIG = Path.of("..", "demo", "config");

  @Test
  void streamedRequestIsServedEndToEndBySeparateProcesses() throws Exception {
    try (DemoFleet demo = new DemoFleet(CONFIG)) {
      HttpResponse<String> r = sendStreamedRequest(demo.callerAddress("vm3"));
      assertEquals(200, r.statusCode(), r.body());
      assertEquals("ran", r.headers().firstValue("Wigeonwharf-Verdict").orElse(""));
      assertTrue(r.body().endsWith("data: [DONE]\n\n"), r.body());
    }
  }

  private static HttpResponse<String> sendStreamedRequest(InetSocketAddress router)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(Fleet.uri(router, "/v1/chat/completions"))
            .header("Authorization", "Bearer demo-theatre-royal")
            .POST(HttpRequest.BodyPublishers.ofString("{\"max_tokens\":5,\"stream\":true}"))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }
}
