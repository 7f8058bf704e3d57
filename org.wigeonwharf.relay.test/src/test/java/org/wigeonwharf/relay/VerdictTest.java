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

/**
 * Guards against wrong verdicts. A caller that gets not-run for a request that ran repeats it, so
 * any failure after the first byte was written must give may-have-run.
 */
class VerdictTest {
  private static final String NOT_RUN = "not-run";
  private static final String MAY_HAVE_RUN = "may-have-run";
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private static InetSocketAddress closedPort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) s.getLocalSocketAddress();
    }
  }

  /** Sends one unrepeatable request through a backend server; each lease must be ended once. */
  private static RelayFixture.Response bookThrough(ScriptedBackend.Script script) throws Exception {
    try (ScriptedBackend backend = new ScriptedBackend(script);
        RelayFixture fixture = new RelayFixture(backend.address())) {
      RelayFixture.Response response = fixture.call(RelayFixture.bookingRequest());
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
      assertEquals(1, fixture.slots.grants(), "an unrepeatable request is attempted once");
      return response;
    }
  }

  @Test
  void refusedConnectionIsNotRun() throws Exception {
    try (RelayFixture fixture = new RelayFixture(closedPort())) {
      RelayFixture.Response response = fixture.call(RelayFixture.bookingRequest());
      assertEquals(502, response.status());
      assertEquals(NOT_RUN, response.verdict());
      assertTrue(fixture.slots.allLeasesEndedOnce());
    }
  }

  @Test
  void resetBeforeOrWhileTheRequestIsReadMayHaveRun() throws Exception {
    List<ScriptedBackend.Script> scripts =
        List.of(
            p -> p.socket.getInputStream().read(),
            ScriptedBackend.Connection::readHead,
            p -> {
              p.readHead();
              p.readBody(7);
            },
            p -> {
              p.readHead();
              p.readBody(15);
            });
    for (ScriptedBackend.Script s : scripts) {
      RelayFixture.Response response = bookThrough(s);
      assertEquals(502, response.status());
      assertEquals(MAY_HAVE_RUN, response.verdict());
    }
  }

  @Test
  void idleTimeoutAfterTheWriteMayHaveRun() throws Exception {
    RelayFixture.Response response =
        bookThrough(
            p -> {
              p.readHead();
              p.awaitEnd();
            });
    assertEquals(502, response.status());
    assertEquals(MAY_HAVE_RUN, response.verdict());
  }

  @Test
  void responseLostBeforeAnyForwardedByteMayHaveRun() throws Exception {
    RelayFixture.Response response =
        bookThrough(
            p -> {
              p.readHead();
              p.write("HTTP/1.1 201 Created\r\nContent-Length: 20\r\n\r\n");
              p.closeCleanly();
            });
    assertEquals(502, response.status());
    assertEquals(MAY_HAVE_RUN, response.verdict());
  }

  @Test
  void refusalStatusIsNotRunOnlyIfTheServiceIsConfiguredSo() throws Exception {
    ScriptedBackend.Script refusal =
        p -> {
          p.readHead();
          p.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
          p.awaitEnd();
        };
    RelayFixture.Response plain = bookThrough(refusal);
    assertEquals(503, plain.status());
    assertEquals(MAY_HAVE_RUN, plain.verdict());
    try (ScriptedBackend backend = new ScriptedBackend(refusal);
        RelayFixture fixture = new RelayFixture(backend.address())) {
      RelayFixture.Response response = fixture.call(RelayFixture.chatRequest(""));
      assertEquals(NOT_RUN, response.verdict());
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
      assertFalse(fixture.slots.ends().contains(LeaseEnd.FAILED));
    }
  }

  @Test
  void refusalAfterAnAttemptThatMayHaveRunNeverSaysNotRun() throws Exception {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.Connection::readHead);
        RelayFixture fixture = new RelayFixture(backend.address())) {
      fixture.slots.limitGrants(1);
      RelayFixture.Response response = fixture.call(RelayFixture.chatRequest(""));
      assertEquals(503, response.status());
      assertEquals(MAY_HAVE_RUN, response.verdict());
    }
  }

  @Test
  void expiredLeaseWritesNothingAndIsNotRun() throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write(OK);
                  p.awaitEnd();
                });
        RelayFixture fixture = new RelayFixture(backend.address())) {
      fixture.slots.addLeaseDuration(0);
      fixture.slots.limitGrants(1);
      RelayFixture.Response response = fixture.call(RelayFixture.bookingRequest());
      assertEquals(NOT_RUN, response.verdict());
      assertEquals(List.of(LeaseEnd.RETURNED), fixture.slots.ends());
      assertEquals(0, backend.requests());
      fixture.slots.addLeaseDuration(0);
      fixture.slots.limitGrants(2);
      assertEquals("ok", fixture.call(RelayFixture.bookingRequest()).body());
    }
  }

  @Test
  void leaseThatExpiresWhileTheRequestQueuesForConnectionIsReturned() throws Exception {
    try (ServerSocket fullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket a = new Socket();
        Socket b = new Socket();
        RelayFixture fixture =
            new RelayFixture((InetSocketAddress) fullBacklog.getLocalSocketAddress())) {
      a.connect(fullBacklog.getLocalSocketAddress());
      b.connect(fullBacklog.getLocalSocketAddress());
      fixture.slots.addLeaseDuration(50);
      fixture.slots.limitGrants(1);
      RelayFixture.Response response = fixture.call(RelayFixture.bookingRequest());
      assertEquals(NOT_RUN, response.verdict());
      assertEquals(List.of(LeaseEnd.RETURNED), fixture.slots.ends());
    }
  }

  @Test
  void cookieOfOneResponseIsNotSentWithAnotherRequest() throws Exception {
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
        RelayFixture fixture = new RelayFixture(backend.address())) {
      fixture.call(RelayFixture.chatRequest(""));
      fixture.call(RelayFixture.chatRequest(""));
      assertFalse(heads.toString().contains("a=b"), heads.toString());
    }
  }

  @Test
  void redirectsAndChallengesAreRelayedNotFollowed() throws Exception {
    for (String status : List.of("307 Elsewhere", "401 Who")) {
      RelayFixture.Response response =
          bookThrough(
              p -> {
                p.readHead();
                p.write(
                    "HTTP/1.1 "
                        + status
                        + "\r\nLocation: /x\r\nWWW-Authenticate: Basic\r\n"
                        + "Content-Length: 0\r\n\r\n");
                p.awaitEnd();
              });
      assertEquals(status.substring(0, 3), "" + response.status());
      assertEquals("ran", response.verdict());
    }
  }
}
