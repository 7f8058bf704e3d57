package org.wigeonwharf.router.bookings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a booking with an idempotency key is made at most once when it is retried at another
 * router, when the router that issued the key is killed or frozen, and when the answer is cut off.
 */
class KeyedBookingProcessTest {
  private static final String SLOT = "nine";
  private static final long BOOKING_DELAY_MILLIS = 6_000;
  private static final long ANSWER_TIMEOUT_SECONDS = 30;

  private BookingFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new BookingFleet();
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void retryAtAnotherRouterReturnsFirstAnswerAndBooksOnce() throws Exception {
    String key =
        fleet
            .bookWithoutRequiredKey("vm1", SLOT)
            .headers()
            .firstValue("Idempotency-Key")
            .orElseThrow();
    HttpResponse<String> first = fleet.book("vm1", key, SLOT);
    HttpResponse<String> retry = fleet.book("vm2", key, SLOT);
    assertEquals(201, first.statusCode(), first.body());
    assertEquals(201, retry.statusCode(), retry.body());
    assertEquals(first.body(), retry.body());
    assertEquals("ran", BookingFleet.verdict(retry));
    assertEquals(1, fleet.countBookings(SLOT));
  }

  @Test
  void keyOfRouterKilledDuringBookingIsNotExecutedAgain() throws Exception {
    String key = fleet.issueKey("vm1");
    fleet.delayBookings(BOOKING_DELAY_MILLIS);
    CompletableFuture<HttpResponse<String>> waiting = fleet.startBooking("vm2", key, SLOT);
    fleet.awaitBooking(SLOT);
    fleet.router("vm1").kill();
    assertMayHaveRun(waiting.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertMayHaveRun(fleet.book("vm2", key, SLOT));
    assertEquals(1, fleet.countBookings(SLOT));
  }

  @Test
  void frozenIssuerIsNotReplacedAndAnswersAfterItResumes() throws Exception {
    String key = fleet.issueKey("vm1");
    fleet.router("vm1").freeze();
    HttpResponse<String> whileFrozen = fleet.book("vm2", key, SLOT);
    assertMayHaveRun(whileFrozen);
    assertEquals(0, fleet.countBookings(SLOT));
    fleet.router("vm1").thaw();
    fleet.awaitBooking(SLOT);
    HttpResponse<String> retry = fleet.book("vm1", key, SLOT);
    assertEquals(201, retry.statusCode(), retry.body());
    assertEquals(1, fleet.countBookings(SLOT));
  }

  @Test
  void bookingWithTruncatedAnswerIsNotRepeated() throws Exception {
    String key = fleet.issueKey("vm1");
    fleet.cutConnectionAfterBooking(true);
    assertEquals("may-have-run", BookingFleet.verdict(fleet.book("vm1", key, SLOT)));
    fleet.cutConnectionAfterBooking(false);
    assertEquals("may-have-run", BookingFleet.verdict(fleet.book("vm2", key, SLOT)));
    assertEquals(1, fleet.countBookings(SLOT));
  }

  private static void assertMayHaveRun(HttpResponse<String> answer) {
    assertEquals(503, answer.statusCode(), answer.body());
    assertEquals("may-have-run", BookingFleet.verdict(answer));
  }
}
