package org.wigeonwharf.router.bookings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wigeonwharf.standin.fleet.Fleet;
import org.wigeonwharf.standin.fleet.FleetProcess;

/**
 * Runs two routers and a booking service as processes. The booking service's record of actions
 * shows how often a slot was booked.
 */
final class BookingFleet implements AutoCloseable {
  static final String KEY = "Idempotency-Key";
  static final String VERDICT = "Wigeonwharf-Verdict";
  private static final String HOBART = "hobart-a";
  private static final String TOKEN = "demo-theatre-royal";
  private static final String BOOKINGS = "/v1/services/booking/bookings";
  private static final long BOOKING_TIMEOUT_SECONDS = 20;
  private static final long POLL_MILLIS = 20;

  private final Fleet fleet;
  private final InetSocketAddress bookingService;
  private final HttpClient http = HttpClient.newHttpClient();

  BookingFleet() throws IOException, InterruptedException {
    fleet = new Fleet(Path.of("..", "demo", "config"));
    bookingService = fleet.addBooking("booking", "b1", HOBART);
    fleet.addRouter("vm1", HOBART);
    fleet.addRouter("vm2", HOBART);
    fleet.publish();
    fleet.awaitReady();
  }

  FleetProcess router(String name) {
    return fleet.process(name);
  }

  void delayBookings(long millis) throws IOException, InterruptedException {
    fleet.post(bookingService, "/control/delay?ms=" + millis, "");
  }

  void cutConnectionAfterBooking(boolean on) throws IOException, InterruptedException {
    fleet.post(bookingService, "/control/cut?on=" + on, "");
  }

  /** Returns how often the slot was booked. */
  int countBookings(String slot) throws IOException, InterruptedException {
    int count = 0;
    for (JsonNode action :
        new ObjectMapper().readTree(fleet.get(bookingService, "/control/actions"))) {
      if (action.asText().equals(body(slot))) {
        count++;
      }
    }
    return count;
  }

  void awaitBooking(String slot) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOOKING_TIMEOUT_SECONDS);
    while (countBookings(slot) == 0) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IOException("no booking was made in time");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  String issueKey(String router) throws IOException, InterruptedException {
    return issueKey(router, TOKEN);
  }

  String issueKey(String router, String token) throws IOException, InterruptedException {
    HttpRequest request =
        request(router, "/v1/idempotency-keys", token)
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString())
        .headers()
        .firstValue(KEY)
        .orElseThrow(() -> new IOException("no key was issued"));
  }

  HttpResponse<String> book(String router, String key, String slot)
      throws IOException, InterruptedException {
    return http.send(bookingRequest(router, key, slot), HttpResponse.BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<String>> startBooking(String router, String key, String slot) {
    return http.sendAsync(bookingRequest(router, key, slot), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> bookWithoutRequiredKey(String router, String slot)
      throws IOException, InterruptedException {
    HttpRequest request =
        request(router, BOOKINGS, TOKEN)
            .header("Wigeonwharf-Require-Key", "true")
            .POST(HttpRequest.BodyPublishers.ofString(body(slot)))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest bookingRequest(String router, String key, String slot) {
    return request(router, BOOKINGS, TOKEN)
        .header(KEY, key)
        .POST(HttpRequest.BodyPublishers.ofString(body(slot)))
        .build();
  }

  private static String body(String slot) {
    return "{\"slot\":\"" + slot + "\"}";
  }

  private HttpRequest.Builder request(String router, String path, String token) {
    Fleet.RouterAddresses a = fleet.routers().get(router);
    if (a == null) {
      throw new IllegalArgumentException("no router is named " + router);
    }
    return HttpRequest.newBuilder(Fleet.uri(a.callers(), path))
        .header("Authorization", "Bearer " + token);
  }

  static String verdict(HttpResponse<String> answer) {
    return answer.headers().firstValue(VERDICT).orElse("none");
  }

  @Override
  public void close() {
    fleet.close();
  }
}
