package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against retry storms, in which servers that refuse every request get a multiple of the
 * load, and against retries after response bytes were forwarded, which would splice two runs
 * together.
 */
class RetryTest {
  private static final String BUSY = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  @Test
  void retriesStayWithinTheBudgetWhenEveryServerRefuses() throws Exception {
    int calls = 100;
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write(BUSY);
                });
        RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, backend.address())) {
      for (int i = 0; i < calls; i++) {
        assertEquals("not-run", fixture.call(RelayFixture.chatRequest("")).verdict());
      }
      int maxAttempts = calls + calls / 10 + 10;
      assertTrue(backend.requests() <= maxAttempts, backend.requests() + " requests");
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
    }
  }

  @Test
  void repeatableRequestIsRetriedBeforeAnyByteWasForwarded() throws Exception {
    AtomicInteger number = new AtomicInteger();
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.readBody(15);
                  if (number.getAndIncrement() > 0) {
                    p.write(OK);
                    p.awaitEnd();
                  }
                });
        RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, backend.address())) {
      RelayFixture.Response response = fixture.call(RelayFixture.chatRequest(""));
      assertEquals("ok", response.body());
      assertEquals(2, fixture.slots.grants());
      assertEquals(1, fixture.metrics.counter("relay.retries").getCount());
    }
  }

  @Test
  void requestIsNotRetriedAfterBytesWereForwarded() throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.readBody(15);
                  p.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                  p.closeCleanly();
                });
        RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, backend.address())) {
      assertEquals("half", fixture.call(RelayFixture.chatRequest("")).body());
      assertEquals(1, fixture.slots.grants());
    }
  }
}
