package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterProperty;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against invalid or abusive requests that acquire a slot or run: unknown names, oversized
 * or invalid messages, slow senders and too many connections.
 */
class BadInputTest {
  private static final InetSocketAddress UNUSED_ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);
  private static final String CHAT = "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n";
  private static final String TOKEN = "Authorization: Bearer crew\r\n";

  private RelayFixture fixture;

  private RelayFixture fixture() throws Exception {
    if (fixture == null) {
      fixture = new RelayFixture(UNUSED_ADDRESS);
    }
    return fixture;
  }

  @AfterProperty
  @AfterEach
  void stop() {
    if (fixture != null) {
      fixture.close();
      fixture = null;
    }
  }

  private void assertRejected(int status, String request) throws Exception {
    RelayFixture.Response response = fixture().call(request);
    assertEquals(status, response.status(), request.substring(0, Math.min(80, request.length())));
    assertEquals("not-run", response.verdict(), response.head());
    assertEquals(Problem.MEDIA_TYPE, response.header("Content-Type"));
    assertTrue(response.body().contains("\"verdict\":\"not-run\""), response.body());
    assertEquals(0, fixture().slots.grants(), "nothing may run");
  }

  @Test
  void unknownCallersServicesAndClassesAreRejected() throws Exception {
    assertRejected(401, CHAT + "Content-Length: 0\r\n\r\n");
    assertRejected(401, CHAT + "Authorization: Bearer wrong\r\nContent-Length: 0\r\n\r\n");
    assertRejected(404, RelayFixture.postRequest("/v1/services/none/x", "", ""));
    assertRejected(404, RelayFixture.postRequest("/v2", "", ""));
    assertRejected(400, RelayFixture.chatRequest("Wigeonwharf-Class: none\r\n"));
    assertRejected(404, RelayFixture.chatRequest("Wigeonwharf-Service: none\r\n"));
    assertRejected(400, RelayFixture.chatRequest("Wigeonwharf-Repeatable: maybe\r\n"));
  }

  @Test
  void oversizedHeadsAndBodiesAreRejected() throws Exception {
    assertRejected(431, RelayFixture.chatRequest("X: " + "x".repeat(9_000) + "\r\n"));
    assertRejected(413, CHAT + TOKEN + "Content-Length: 65537\r\n\r\n");
    String chunk = "11000\r\n" + "x".repeat(0x11000) + "\r\n";
    assertRejected(413, CHAT + TOKEN + "Transfer-Encoding: chunked\r\n\r\n" + chunk);
  }

  @Test
  void invalidFramingIsRejected() throws Exception {
    assertRejected(400, CHAT + TOKEN + "Content-Length: x\r\n\r\n");
    assertRejected(400, CHAT + TOKEN + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    assertRejected(400, CHAT + TOKEN + "Transfer-Encoding: chunked\r\n\r\nzz\r\n");
    assertRejected(
        400, CHAT + TOKEN + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n");
    assertRejected(400, "nonsense\r\n\r\n");
  }

  @Test
  void slowBodyIsRejected() throws Exception {
    try (Socket s = fixture().connect()) {
      write(s, CHAT + TOKEN + "Content-Length: 1000\r\n\r\n");
      Thread trickle = new Thread(() -> trickle(s));
      trickle.setDaemon(true);
      trickle.start();
      RelayFixture.Response response = ResponseReader.readFrom(s);
      assertEquals(408, response.status());
      assertEquals("not-run", response.verdict());
    }
  }

  @Test
  void connectionWithSlowHeadIsClosed() throws Exception {
    try (Socket s = fixture().connect()) {
      write(s, CHAT);
      Thread trickle = new Thread(() -> trickle(s));
      trickle.setDaemon(true);
      trickle.start();
      RelayFixture.await(() -> isClosed(s));
    }
  }

  private static boolean isClosed(Socket s) {
    try {
      return s.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private static void trickle(Socket s) {
    try {
      while (true) {
        write(s, "x");
        Thread.sleep(20);
      }
    } catch (IOException | InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void write(Socket s, String text) throws IOException {
    s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  void connectionsPerAccountAreLimited() throws Exception {
    List<Socket> open = new ArrayList<>();
    try {
      String valid = RelayFixture.postRequest("/v1/services/booking/x", "", "");
      for (int i = 0; i < RelayFixture.SHORT_LIMITS.maxConnectionsPerAccount(); i++) {
        Socket s = fixture().connect();
        open.add(s);
        write(s, valid);
        assertEquals(502, ResponseReader.readFrom(s).status());
      }
      int grants = fixture().slots.grants();
      RelayFixture.Response response = fixture().call(valid);
      assertEquals(429, response.status());
      assertEquals("not-run", response.verdict());
      assertEquals(grants, fixture().slots.grants());
      assertEquals(
          400, fixture().call(RelayFixture.chatRequest("Wigeonwharf-Class: none\r\n")).status());
    } finally {
      for (Socket s : open) {
        s.close();
      }
    }
  }

  @Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.OFF)
  void rejectedGarbledHeadsAcquireNoSlot(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 1_000_000) Integer> edits)
      throws Exception {
    StringBuilder text = new StringBuilder(RelayFixture.chatRequest("Wigeonwharf-Class: crew\r\n"));
    for (int e : edits) {
      edit(text, e % text.length(), (char) (e % 251), e % 3);
    }
    int before = fixture().slots.grants();
    try (Socket s = fixture().connect()) {
      write(s, text.toString());
      s.shutdownOutput();
      RelayFixture.Response response = new ResponseReader(s.getInputStream()).read();
      boolean relayed = response.status() == 502;
      assertTrue(relayed || response.status() >= 400 && response.status() < 506, response.head());
      assertEquals("not-run", response.verdict(), response.head());
      assertTrue(
          relayed || fixture().slots.grants() == before,
          "a slot was acquired, but the response was " + response.head());
    } catch (EOFException | SocketException e) {
      assertEquals(before, fixture().slots.grants(), "a slot was acquired without a response");
    }
  }

  private static void edit(StringBuilder text, int at, char c, int kind) {
    switch (kind) {
      case 0 -> text.insert(at, c);
      case 1 -> text.setCharAt(at, c);
      default -> text.deleteCharAt(at);
    }
  }

  @Property(tries = 500, seed = "4711")
  void classifierHandlesEveryHead(
      @ForAll String path, @ForAll String service, @ForAll String token, @ForAll String method)
      throws Exception {
    RequestClassifier c = new RequestClassifier(fixture().store.current().config());
    for (String p : List.of(path, "/v1/services/" + path, RequestClassifier.CHAT_PATH)) {
      for (String t : List.of("Bearer " + token, "Bearer crew")) {
        c.classify(new RequestClassifier.Head(method, p, path, t, service, service, token));
      }
    }
  }
}
