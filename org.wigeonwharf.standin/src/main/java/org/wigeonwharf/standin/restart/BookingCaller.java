package org.wigeonwharf.standin.restart;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.standin.restart.RestartTally.BookingEnd;

/**
 * A BookingCaller makes one booking at a time and tries again, at another router, when it hears
 * nothing or a refusal. Every fourth caller gives its first try up before the answer can come.
 */
final class BookingCaller {
  private static final String KEYS = "/v1/idempotency-keys";
  private static final String BOOKINGS = "/v1/services/booking/bookings";
  private static final Duration IMPATIENT = Duration.ofMillis(100);
  private static final Duration PATIENT = Duration.ofSeconds(10);
  private static final int IMPATIENT_EVERY = 4;
  private static final int MAX_TRIES = 6;
  private static final int CREATED = 201;

  private final RouterCalls calls;
  private final RestartTally tally;
  private final boolean keyed;
  private final long pauseMillis;
  private final AtomicInteger numbers = new AtomicInteger();

  BookingCaller(RouterCalls calls, RestartTally tally, boolean keyed, long pauseMillis) {
    this.calls = calls;
    this.tally = tally;
    this.keyed = keyed;
    this.pauseMillis = pauseMillis;
  }

  void call() throws InterruptedException {
    int number = numbers.incrementAndGet();
    String slot = "slot-" + number;
    String key = keyed ? issue() : null;
    if (keyed && key == null) {
      return;
    }
    BookingEnd end = BookingEnd.NOT_RUN;
    boolean mayBeSent = false;
    boolean retried = false;
    for (int i = 0; i < MAX_TRIES && end != BookingEnd.CONFIRMED; i++) {
      retried |= mayBeSent;
      boolean impatient = i == 0 && number % IMPATIENT_EVERY == 0;
      HttpResponse<String> answer = book(slot, key, impatient ? IMPATIENT : PATIENT);
      end = answer == null ? BookingEnd.UNKNOWN : end(answer);
      mayBeSent |= end != BookingEnd.NOT_RUN;
      key = keyed && answer != null ? freshKey(answer, key) : key;
      if (end != BookingEnd.CONFIRMED) {
        Thread.sleep(pauseMillis);
      }
    }
    tally.booking(slot, end, retried);
  }

  private static @Nullable String freshKey(HttpResponse<String> answer, @Nullable String key) {
    return answer.headers().firstValue(RouterCalls.KEY).orElse(key);
  }

  private static BookingEnd end(HttpResponse<String> answer) {
    if (answer.statusCode() == CREATED) {
      return BookingEnd.CONFIRMED;
    }
    String verdict = answer.headers().firstValue("Wigeonwharf-Verdict").orElse("");
    return verdict.equals("not-run") ? BookingEnd.NOT_RUN : BookingEnd.UNKNOWN;
  }

  /** Asks for a key, at most at {@link #MAX_TRIES} routers. */
  private @Nullable String issue() throws InterruptedException {
    String key = null;
    for (int i = 0; i < MAX_TRIES && key == null; i++) {
      HttpResponse<String> answer = post(KEYS, "", null, PATIENT);
      key = answer == null ? null : freshKey(answer, null);
    }
    return key;
  }

  private @Nullable HttpResponse<String> book(String slot, @Nullable String key, Duration timeout)
      throws InterruptedException {
    return post(BOOKINGS, "{\"slot\":\"" + slot + "\"}", key, timeout);
  }

  private @Nullable HttpResponse<String> post(
      String path, String body, @Nullable String key, Duration timeout)
      throws InterruptedException {
    try {
      return calls.post(path, body, key, timeout);
    } catch (IOException e) {
      return null;
    }
  }
}
