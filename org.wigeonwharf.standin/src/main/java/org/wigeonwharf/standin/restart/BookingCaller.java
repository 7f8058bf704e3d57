package org.wigeonwharf.standin.restart;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.standin.restart.RestartResults.BookingOutcome;

/**
 * Makes bookings and retries each one at the next router after a refusal, an error or a timeout.
 * The first attempt of every fourth booking has a timeout shorter than the booking service's delay,
 * so that it is retried while it may still run.
 */
final class BookingCaller {
  private static final String KEYS_PATH = "/v1/idempotency-keys";
  private static final String BOOKINGS_PATH = "/v1/services/booking/bookings";
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
  private static final Duration NORMAL_TIMEOUT = Duration.ofSeconds(10);
  private static final int SHORT_TIMEOUT_EVERY = 4;
  private static final int MAX_ATTEMPTS = 6;
  private static final int HTTP_CREATED = 201;

  private final RouterClient client;
  private final RestartResults results;
  private final boolean keyed;
  private final long retryDelayMillis;
  private final AtomicInteger bookingCount = new AtomicInteger();

  BookingCaller(RouterClient client, RestartResults results, boolean keyed, long retryDelayMillis) {
    this.client = client;
    this.results = results;
    this.keyed = keyed;
    this.retryDelayMillis = retryDelayMillis;
  }

  /**
   * Makes one booking, with up to {@link #MAX_ATTEMPTS} attempts, and records its outcome. Makes
   * none if bookings need a key and no router issues one.
   */
  void makeBooking() throws InterruptedException {
    int number = bookingCount.incrementAndGet();
    String slot = "slot-" + number;
    String key = keyed ? obtainKey() : null;
    if (keyed && key == null) {
      return;
    }
    BookingOutcome outcome = BookingOutcome.NOT_RUN;
    boolean mayHaveRun = false;
    boolean retried = false;
    for (int i = 0; i < MAX_ATTEMPTS && outcome != BookingOutcome.CONFIRMED; i++) {
      retried |= mayHaveRun;
      boolean useShortTimeout = i == 0 && number % SHORT_TIMEOUT_EVERY == 0;
      HttpResponse<String> response =
          sendBooking(slot, key, useShortTimeout ? SHORT_TIMEOUT : NORMAL_TIMEOUT);
      outcome = response == null ? BookingOutcome.UNKNOWN : outcomeOf(response);
      mayHaveRun |= outcome != BookingOutcome.NOT_RUN;
      key = keyed && response != null ? keyFrom(response, key) : key;
      if (outcome != BookingOutcome.CONFIRMED) {
        Thread.sleep(retryDelayMillis);
      }
    }
    results.recordBooking(slot, outcome, retried);
  }

  private static @Nullable String keyFrom(
      HttpResponse<String> response, @Nullable String previousKey) {
    return response.headers().firstValue(RouterClient.KEY_HEADER).orElse(previousKey);
  }

  private static BookingOutcome outcomeOf(HttpResponse<String> response) {
    if (response.statusCode() == HTTP_CREATED) {
      return BookingOutcome.CONFIRMED;
    }
    String verdict = response.headers().firstValue("Wigeonwharf-Verdict").orElse("");
    return verdict.equals("not-run") ? BookingOutcome.NOT_RUN : BookingOutcome.UNKNOWN;
  }

  /** Asks up to {@link #MAX_ATTEMPTS} routers in turn for a key; null if none issues one. */
  private @Nullable String obtainKey() throws InterruptedException {
    String key = null;
    for (int i = 0; i < MAX_ATTEMPTS && key == null; i++) {
      HttpResponse<String> response = post(KEYS_PATH, "", null, NORMAL_TIMEOUT);
      key = response == null ? null : keyFrom(response, null);
    }
    return key;
  }

  private @Nullable HttpResponse<String> sendBooking(
      String slot, @Nullable String key, Duration timeout) throws InterruptedException {
    return post(BOOKINGS_PATH, "{\"slot\":\"" + slot + "\"}", key, timeout);
  }

  private @Nullable HttpResponse<String> post(
      String path, String body, @Nullable String key, Duration timeout)
      throws InterruptedException {
    try {
      return client.post(path, body, key, timeout);
    } catch (IOException e) {
      return null;
    }
  }
}
