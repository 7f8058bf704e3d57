package org.wigeonwharf.standin.restart;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.standin.fleet.Fleet;

/**
 * Sends callers' requests to the routers in turn; a refused connection moves on to the next one.
 */
final class RouterClient {
  static final String KEY_HEADER = "Idempotency-Key";
  private static final String TOKEN = "demo-theatre-royal";
  private static final int MAX_REFUSED_CONNECTIONS = 20;
  private static final long CONNECT_RETRY_DELAY_MILLIS = 50;

  private final RoundRobinBalancer balancer;
  private final HttpClient http = HttpClient.newHttpClient();

  RouterClient(RoundRobinBalancer balancer) {
    this.balancer = balancer;
  }

  /**
   * Sends a POST request.
   *
   * @param path the path
   * @param body the request's body
   * @param key the idempotency key, or null for none
   * @param timeout timeout of each attempt
   * @return the response
   * @throws IOException if the request fails, or too many connections in a row are refused
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  HttpResponse<String> post(String path, String body, @Nullable String key, Duration timeout)
      throws IOException, InterruptedException {
    for (int refused = 0; ; refused++) {
      try {
        return http.send(request(path, body, key, timeout), HttpResponse.BodyHandlers.ofString());
      } catch (ConnectException e) {
        if (refused == MAX_REFUSED_CONNECTIONS) {
          throw e;
        }
        Thread.sleep(CONNECT_RETRY_DELAY_MILLIS);
      }
    }
  }

  private HttpRequest request(String path, String body, @Nullable String key, Duration timeout) {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(Fleet.uri(balancer.next(), path))
            .timeout(timeout)
            .header("Authorization", "Bearer " + TOKEN)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (key != null) {
      b.header(KEY_HEADER, key);
    }
    return b.build();
  }
}
