package org.wigeonwharf.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against bytes of a server that reach a caller as an answer though HTTP allows them not.
 */
class AnswerValidatorTest {
  private static final String LENGTH = "Content-Length: 4\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String OK = "HTTP/1.1 200 OK\r\n";

  /** Collects what a client gets of one answer. */
  private static final class Answer {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private int status;
    private final StringBuilder body = new StringBuilder();
    private boolean whole;
    private boolean malformed;

    private Answer(HttpMethod method) {
      HttpAnswers.addHandlers(channel.pipeline(), method);
      channel.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
    }

    private Answer receive(String bytes) {
      return receive(bytes, bytes.length());
    }

    private Answer receive(String bytes, int size) {
      for (int i = 0; i < bytes.length(); i += size) {
        String part = bytes.substring(i, Math.min(bytes.length(), i + size));
        ByteBuf in = Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1);
        try {
          channel.writeInbound(in);
        } catch (Exception e) {
          malformed |= e instanceof MalformedAnswerException;
        }
        drain();
      }
      return this;
    }

    private void drain() {
      for (Object m = channel.readInbound(); m != null; m = channel.readInbound()) {
        if (m instanceof HttpResponse r) {
          assertEquals(0, status, "a second head");
          status = r.status().code();
        }
        if (m instanceof HttpContent c) {
          body.append(c.content().toString(StandardCharsets.ISO_8859_1));
        }
        whole |= m instanceof LastHttpContent l && l.decoderResult().isSuccess();
        ReferenceCountUtil.release(m);
      }
    }
  }

  private static Answer get(String bytes) {
    return new Answer(HttpMethod.GET).receive(bytes);
  }

  // Guards against a status that no answer has, such as 000, which reached callers.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 -20 X",
        "HTTP/1.1 +20 X",
        "HTTP/1.1 2x0 X",
        "HTTP/1.1  200 X",
        "HTTP/1.1\t200 X",
        "HTTP/1.1 200X",
        "HTTP/1.2 200 X",
        "HTTP/2.0 200 X",
        "HTTP/11 200 X",
        "HTTP/1.10 200 X",
        "http/1.1 200 X",
        "XHTTP/1.1 200 X",
        " HTTP/1.1 200 X",
        "\0HTTP/1.1 200 X",
        "HTTP/1.1",
        "HTTP/1.1 ",
        "200 OK",
        "HTTP/1.1 101 X",
        "HTTP/1.1 200 a\0b",
        "HTTP/1.1 200 a\rb",
        "",
        "\t"
      })
  void statusLineThatHttpDoesNotAllowIsNoAnswer(String line) {
    Answer a = get(line + "\r\n" + LENGTH + "\r\nbody");
    assertTrue(a.malformed);
    assertEquals(0, a.status);
    assertFalse(a.whole);
  }

  // Guards against lines whose name one reader takes for another, such as that of the length.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Y: 1",
        "X : 1",
        " X: 1",
        "\tX: 1",
        ": 1",
        "X",
        "X\0: 1",
        "X\1Y: 1",
        "X\rY: 1",
        "X\177: 1",
        "Xé: 1",
        "X(Y): 1",
        "X\"Y: 1",
        "X/Y: 1",
        "X: a\0b",
        "X: a\7b",
        "X: a\rb",
        "Content-Length junk: 2",
        "Content-Length : 2",
        "Content-Length\t: 2",
        "Content-Length: 2",
        "Content-Length: 4",
        "Content-Length: 4, 4",
        "Content-Length: -4",
        "Transfer-Encoding: chunked",
        "X: 1\r\n folded",
        "X: 1\r\n\tfolded"
      })
  void fieldThatHttpDoesNotAllowIsNoAnswer(String line) {
    for (String head : new String[] {OK + LENGTH + line + "\r\n", OK + line + "\r\n" + LENGTH}) {
      Answer a = get(head + "\r\nbody");
      assertTrue(a.malformed, head);
      assertEquals(0, a.status);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: \r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: 4.0\r\n",
        "Content-Length: 0x4\r\n",
        "Content-Length: \r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 4 4\r\n"
      })
  void framingThatIsAmbiguousIsNoAnswer(String fields) {
    Answer a = get(OK + fields + "\r\nbody");
    assertTrue(a.malformed);
    assertEquals(0, a.status);
    assertEquals(0, get("HTTP/1.0 200 OK\r\n" + CHUNKED + "\r\n0\r\n\r\n").status);
  }

  @Test
  void lineThatEndsWithoutCarriageReturnIsNoAnswer() {
    String answer = OK + CHUNKED + "\r\n4\r\nbody\r\n0\r\nX: 1\r\n\r\n";
    assertTrue(get(answer).whole);
    for (int at = answer.indexOf('\r'); at >= 0; at = answer.indexOf('\r', at + 1)) {
      Answer a = get(answer.substring(0, at) + answer.substring(at + 1));
      assertTrue(a.malformed, "without the one at " + at);
      assertFalse(a.whole);
    }
  }

  // Guards against an answer that ends where its chunks do not.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "4\r\nbodyX\r\n0\r\n\r\n",
        "4\r\nbody0\r\n\r\n",
        "\r\n0\r\n\r\n",
        "-4\r\nbody\r\n0\r\n\r\n",
        "0x4\r\nbody\r\n0\r\n\r\n",
        "4 4\r\nbody\r\n0\r\n\r\n",
        "4,4\r\nbody\r\n0\r\n\r\n",
        "000000004\r\nbody\r\n0\r\n\r\n",
        "g\r\n",
        "4;a=\0\r\nbody\r\n0\r\n\r\n",
        "0\r\nX Y: 1\r\n\r\n",
        "0\r\n folded\r\n\r\n"
      })
  void chunksThatHttpDoesNotAllowEndNoAnswer(String chunks) {
    Answer a = get(OK + CHUNKED + "\r\n" + chunks);
    assertTrue(a.malformed);
    assertFalse(a.whole);
  }

  // Guards against a head that is cut short and passes as an answer without a body.
  @Test
  void headThatIsCutShortIsNoAnswer() {
    String answer = OK + "X: 1\r\n" + LENGTH + "\r\n";
    for (int length = 0; length < answer.length(); length++) {
      Answer a = get(answer.substring(0, length));
      a.channel.close();
      a.drain();
      assertEquals(0, a.status, "after " + length + " bytes");
      assertFalse(a.whole);
    }
  }

  @Property(tries = 60)
  void answersPassInWhateverPiecesTheyCome(@ForAll @IntRange(min = 1, max = 60) int size) {
    String interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    String[] answers = {
      OK + LENGTH + "\r\nbody" + OK + LENGTH + "\r\nnext",
      interim + interim + OK + "content-length:4  \r\n\r\nbodyX",
      OK + CHUNKED + "\r\n1;a=b\r\nb\r\n3\r\nody\r\n000\r\nX: 1\r\n\r\nX",
      "HTTP/1.1 299 é\tX\r\n!#$%&'*+-.^_`|~:\r\n" + LENGTH + "\r\nbody",
      "HTTP/1.0 200\r\n" + LENGTH + "\r\nbody"
    };
    for (String text : answers) {
      Answer a = new Answer(HttpMethod.GET).receive(text, size);
      assertFalse(a.malformed, text);
      assertTrue(a.whole, text);
      assertEquals("body", a.body.toString(), text);
    }
  }

  @Test
  void answersWithoutBodyAreWholeWithTheirHead() {
    assertTrue(get("HTTP/1.1 204 No Content\r\n\r\nX").whole);
    assertTrue(get("HTTP/1.1 304 Not Modified\r\n" + LENGTH + "\r\nX").whole);
    Answer head = new Answer(HttpMethod.HEAD).receive(OK + LENGTH + "\r\nX");
    assertTrue(head.whole);
    assertEquals("", head.body.toString());
  }

  // Guards against a server whose bytes without end fill the memory of those who call it.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X",
        "\r\n",
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\nX: 1\r\n",
        "HTTP/1.1 103 Early\r\n\r\n"
      })
  void headWithoutEndIsGivenUpEarly(String text) {
    Answer a = new Answer(HttpMethod.GET);
    int bytes = 0;
    String repeated = text.startsWith("HTTP/1.1 200 OK") ? "X: 1\r\n" : text;
    a.receive(text);
    while (!a.malformed && bytes < 100_000) {
      a.receive(repeated);
      bytes += repeated.length();
    }
    assertTrue(a.malformed, "read " + bytes + " bytes");
    assertEquals(0, a.status);
  }
}
