package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class RetryTest {
  private static final String BUSY = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  @Test
  void poolThatRefusesEverythingMeetsNoStormOfRetries() throws Exception {
    int calls = 100;
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write(BUSY);
                });
        RelayBench bench = new RelayBench(RelayBench.PATIENT, backend.address())) {
      for (int i = 0; i < calls; i++) {
        assertEquals("not-run", bench.call(RelayBench.chat("")).verdict());
      }
      int allowed = calls + calls / 10 + 10;
      assertTrue(backend.requests() <= allowed, backend.requests() + " requests");
      RelayBench.await(bench.slots::eachEndedOnce);
    }
  }

  @Test
  void repeatableWorkIsTriedAgainBeforeAnyByteWasForwarded() throws Exception {
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
        RelayBench bench = new RelayBench(RelayBench.PATIENT, backend.address())) {
      RelayBench.Answer a = bench.call(RelayBench.chat(""));
      assertEquals("ok", a.body());
      assertEquals(2, bench.slots.grants());
      assertEquals(1, bench.metrics.counter("relay.retries").getCount());
    }
  }

  @Test
  void answerOfWhichBytesWereForwardedIsNeverTriedAgain() throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.readBody(15);
                  p.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                  p.closeCleanly();
                });
        RelayBench bench = new RelayBench(RelayBench.PATIENT, backend.address())) {
      assertEquals("half", bench.call(RelayBench.chat("")).body());
      assertEquals(1, bench.slots.grants());
    }
  }
}
