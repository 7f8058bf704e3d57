package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a backend server that reach a caller as an answer but are none. */
class MalformedAnswerTest {
  private static RelayFixture.Response relay(String answer) throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.readBody(15);
                  p.write(answer);
                  p.closeCleanly();
                });
        RelayFixture fixture = new RelayFixture(backend.address())) {
      RelayFixture.Response response = fixture.call(RelayFixture.chatRequest(""));
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
      return response;
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 2x0 X",
        "HTTP/2.0 200 X",
        "HTTP/1.1 101 X"
      })
  void statusThatHttpDoesNotAllowIsNoAnswer(String line) throws Exception {
    RelayFixture.Response response = relay(line + "\r\nContent-Length: 2\r\n\r\n{}");
    assertEquals(502, response.status());
    assertEquals("may-have-run", response.verdict());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Y: 1",
        "X : 1",
        ": 1",
        "X\0: 1",
        "X\1Y: 1",
        "X(Y): 1",
        "X: a\0b",
        "X: 1\r\n folded",
        "Content-Length junk: 1",
        "Content-Length : 1",
        "Content-Length: 1",
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip"
      })
  void fieldThatHttpDoesNotAllowIsNoAnswer(String line) throws Exception {
    RelayFixture.Response response =
        relay("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\n{}");
    assertEquals(502, response.status());
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 12, 15, 17, 20, 30, 36, 38})
  void headThatIsCutShortIsNoAnswer(int length) throws Exception {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    RelayFixture.Response response =
        relay(answer.substring(0, Math.min(length, answer.length() - 1)));
    assertEquals(502, response.status());
    assertFalse(response.body().contains("{}"));
  }
}
