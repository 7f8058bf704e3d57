package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.schedule.LeaseEnd;

class VerdictTest {
  private static final String NOT_RUN = "not-run";
  private static final String MAY_HAVE_RUN = "may-have-run";
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private static InetSocketAddress closedPort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) s.getLocalSocketAddress();
    }
  }

  /** Books once through a backend server and returns the answer; no lease may be ended twice. */
  private static RelayBench.Answer book(ScriptedBackend.Script script) throws Exception {
    try (ScriptedBackend backend = new ScriptedBackend(script);
        RelayBench bench = new RelayBench(backend.address())) {
      RelayBench.Answer a = bench.call(RelayBench.booking());
      RelayBench.await(bench.slots::eachEndedOnce);
      assertEquals(1, bench.slots.grants(), "unrepeatable work is attempted once");
      return a;
    }
  }

  @Test
  void refusedConnectionIsNotRun() throws Exception {
    try (RelayBench bench = new RelayBench(closedPort())) {
      RelayBench.Answer a = bench.call(RelayBench.booking());
      assertEquals(502, a.status());
      assertEquals(NOT_RUN, a.verdict());
      assertTrue(bench.slots.eachEndedOnce());
    }
  }

  @Test
  void resetBeforeOrWhileTheRequestIsReadMayHaveRun() throws Exception {
    List<ScriptedBackend.Script> scripts =
        List.of(
            p -> p.socket.getInputStream().read(),
            ScriptedBackend.Peer::readHead,
            p -> {
              p.readHead();
              p.readBody(7);
            },
            p -> {
              p.readHead();
              p.readBody(15);
            });
    for (ScriptedBackend.Script s : scripts) {
      RelayBench.Answer a = book(s);
      assertEquals(502, a.status());
      assertEquals(MAY_HAVE_RUN, a.verdict());
    }
  }

  @Test
  void silenceAfterTheWriteMayHaveRun() throws Exception {
    RelayBench.Answer a =
        book(
            p -> {
              p.readHead();
              p.awaitEnd();
            });
    assertEquals(502, a.status());
    assertEquals(MAY_HAVE_RUN, a.verdict());
  }

  @Test
  void answerBrokenOffBeforeAnyForwardedByteIsProblemThatMayHaveRun() throws Exception {
    RelayBench.Answer a =
        book(
            p -> {
              p.readHead();
              p.write("HTTP/1.1 201 Created\r\nContent-Length: 20\r\n\r\n");
              p.closeCleanly();
            });
    assertEquals(502, a.status());
    assertEquals(MAY_HAVE_RUN, a.verdict());
  }

  @Test
  void refusalStatusIsNotRunOnlyWithTheWordOfTheService() throws Exception {
    ScriptedBackend.Script refusal =
        p -> {
          p.readHead();
          p.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
          p.awaitEnd();
        };
    RelayBench.Answer plain = book(refusal);
    assertEquals(503, plain.status());
    assertEquals(MAY_HAVE_RUN, plain.verdict());
    try (ScriptedBackend backend = new ScriptedBackend(refusal);
        RelayBench bench = new RelayBench(backend.address())) {
      RelayBench.Answer a = bench.call(RelayBench.chat(""));
      assertEquals(NOT_RUN, a.verdict());
      RelayBench.await(bench.slots::eachEndedOnce);
      assertFalse(bench.slots.ends().contains(LeaseEnd.FAILED));
    }
  }

  @Test
  void refusalAfterAnAttemptThatMayHaveRunNeverSaysNotRun() throws Exception {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.Peer::readHead);
        RelayBench bench = new RelayBench(backend.address())) {
      bench.slots.grantOnly(1);
      RelayBench.Answer a = bench.call(RelayBench.chat(""));
      assertEquals(503, a.status());
      assertEquals(MAY_HAVE_RUN, a.verdict());
    }
  }

  @Test
  void voidLeaseWritesNothingAndIsNotRun() throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write(OK);
                  p.awaitEnd();
                });
        RelayBench bench = new RelayBench(backend.address())) {
      bench.slots.nextLease(0);
      bench.slots.grantOnly(1);
      RelayBench.Answer a = bench.call(RelayBench.booking());
      assertEquals(NOT_RUN, a.verdict());
      assertEquals(List.of(LeaseEnd.RETURNED), bench.slots.ends());
      assertEquals(0, backend.requests());
      bench.slots.nextLease(0);
      bench.slots.grantOnly(2);
      assertEquals("ok", bench.call(RelayBench.booking()).body());
    }
  }

  @Test
  void leaseThatGoesVoidWhileTheRequestQueuesForTheConnectionIsGivenBack() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket a = new Socket();
        Socket b = new Socket();
        RelayBench bench = new RelayBench((InetSocketAddress) full.getLocalSocketAddress())) {
      a.connect(full.getLocalSocketAddress());
      b.connect(full.getLocalSocketAddress());
      bench.slots.nextLease(50);
      bench.slots.grantOnly(1);
      RelayBench.Answer answer = bench.call(RelayBench.booking());
      assertEquals(NOT_RUN, answer.verdict());
      assertEquals(List.of(LeaseEnd.RETURNED), bench.slots.ends());
    }
  }

  @Test
  void cookieOfOneCallersAnswerIsNotSentForAnother() throws Exception {
    StringBuffer heads = new StringBuffer();
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  for (int i = 0; i < 2; i++) {
                    heads.append(p.readHead());
                    p.readBody(15);
                    p.write("HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nContent-Length: 2\r\n\r\nok");
                  }
                });
        RelayBench bench = new RelayBench(backend.address())) {
      bench.call(RelayBench.chat(""));
      bench.call(RelayBench.chat(""));
      assertFalse(heads.toString().contains("a=b"), heads.toString());
    }
  }

  @Test
  void redirectsAndChallengesAreRelayedNotFollowed() throws Exception {
    for (String status : List.of("307 Elsewhere", "401 Who")) {
      RelayBench.Answer a =
          book(
              p -> {
                p.readHead();
                p.write(
                    "HTTP/1.1 "
                        + status
                        + "\r\nLocation: /x\r\nWWW-Authenticate: Basic\r\n"
                        + "Content-Length: 0\r\n\r\n");
                p.awaitEnd();
              });
      assertEquals(status.substring(0, 3), "" + a.status());
      assertEquals("ran", a.verdict());
    }
  }
}
