package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RequestKind;

/**
 * Guards against request smuggling through ambiguous framing, against slow, oversized or idle input
 * that holds a connection open, and against requests that go on after their caller disconnected.
 */
class CallerConnectionTest {
  private static final CallerLimits LIMITS = new CallerLimits(1_000, 2_000, 3_000, 15_000);
  private static final int MAX_DECODED_HEADER_BYTES = 10_000;
  private static final String TARGET = "/" + RequestKind.UNREPEATABLE.name() + "/x";
  private static final String HEAD =
      "POST " + TARGET + " HTTP/1.1\r\nHost: host\r\nid: 1\r\nkey: key-1\r\n";
  private static final String REQUEST = HEAD + "Content-Length: 4\r\n\r\nbody";

  private final ExchangeFixture fixture = new ExchangeFixture().addServers(2);
  private boolean stopping;
  private CallerLimits limits = LIMITS;
  private final EmbeddedChannel channel = connect();

  private EmbeddedChannel connect() {
    CallerConnection connection =
        new CallerConnection(fixture.exchanges, () -> limits, () -> stopping, fixture.timers);
    HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxHeaderSize(MAX_DECODED_HEADER_BYTES);
    return new EmbeddedChannel(
        new ChannelInboundHandlerAdapter() {
          @Override
          public void channelRead(ChannelHandlerContext ctx, Object message) {
            connection.onBytesReceived();
            ctx.fireChannelRead(message);
          }
        },
        new HttpServerCodec(decoder),
        connection);
  }

  private void send(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private String received() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
      text.append(b.toString(StandardCharsets.ISO_8859_1));
      b.release();
    }
    return text.toString();
  }

  // Guards against a kept connection that goes on under the limits of an older configuration.
  @Test
  void keptConnectionFollowsChangedLimits() {
    final String large = HEAD + "Content-Length: 3000\r\n\r\n" + "b".repeat(3_000);
    final String longHead = HEAD + "more: " + "h".repeat(3_000) + "\r\nContent-Length: 0\r\n\r\n";
    send(REQUEST);
    fixture.attempt(0).respond(200, "first", TestProtocol.SIGNED);
    limits = new CallerLimits(5_000, 5_000, 3_000, 60_000);
    send(large);
    fixture.attempt(1).respond(200, "second", TestProtocol.SIGNED);
    send(longHead);
    fixture.attempt(2).respond(200, "third", TestProtocol.SIGNED);
    assertTrue(received().endsWith("third"));
    fixture.timers.advanceMillis(50_000);
    assertTrue(channel.isOpen(), "idle for less than the new limit");
    limits = LIMITS;
    send(large);
    assertTrue(received().contains(" 413 "));
    assertEquals(3, fixture.attempts.size());
  }

  @Test
  void idleTimeoutThatIsRaisedMeanwhileHolds() {
    fixture.timers.advanceMillis(10_000);
    limits = new CallerLimits(1_000, 2_000, 3_000, 60_000);
    fixture.timers.advanceMillis(45_000);
    assertTrue(channel.isOpen());
    fixture.timers.advanceMillis(10_000);
    assertTrue(!channel.isOpen());
  }

  /** Keeps what is written back, as for a caller that reads slowly. */
  private List<ChannelPromise> holdWrites() {
    List<ChannelPromise> writes = new ArrayList<>();
    channel
        .pipeline()
        .addFirst(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
                writes.add(promise);
              }
            });
    return writes;
  }

  // Guards against a planned stop that cuts an answer which its caller still reads.
  @Test
  void connectionIsClosedOnlyOnceItsResponseIsWritten() {
    CallerConnection connection = channel.pipeline().get(CallerConnection.class);
    final List<ChannelPromise> writes = holdWrites();
    send(REQUEST);
    fixture.attempt(0).respond(200, "first", TestProtocol.SIGNED);
    assertTrue(connection.hasPendingResponse(), "the caller has read nothing yet");
    stopping = true;
    connection.closeIfIdle();
    assertTrue(channel.isOpen(), "cut the response");
    writes.forEach(ChannelPromise::setSuccess);
    assertFalse(channel.isOpen());
  }

  @Test
  void idleTimeBeginsOnceTheResponseIsWritten() {
    final List<ChannelPromise> writes = holdWrites();
    send(REQUEST);
    fixture.attempt(0).respond(200, "first", TestProtocol.SIGNED);
    fixture.timers.advanceMillis(14_000);
    writes.forEach(ChannelPromise::setSuccess);
    fixture.timers.advanceMillis(14_000);
    assertTrue(channel.isOpen(), "idle for less than the limit");
    fixture.timers.advanceMillis(2_000);
    assertFalse(channel.isOpen());
  }

  @Test
  void callerThatReadsNothingIsClosedAtLast() {
    holdWrites();
    send(REQUEST);
    fixture.attempt(0).respond(200, "first", TestProtocol.SIGNED);
    fixture.timers.advanceMillis(50_000);
    assertFalse(channel.isOpen());
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() {
    send(REQUEST + REQUEST);
    assertEquals(1, fixture.attempts.size());
    fixture.attempt(0).respond(200, "first", TestProtocol.SIGNED);
    fixture.attempt(1).respond(200, "second", TestProtocol.SIGNED);
    String text = received();
    assertTrue(text.indexOf("first") < text.indexOf("second"), text);
    assertTrue(channel.isOpen());
  }

  @Test
  void pipelinedRequestsThatAreDeniedAreAllAnswered() {
    String unknown = "GET /unknown/ HTTP/1.1\r\nHost: host\r\n\r\n";
    send(REQUEST + unknown.repeat(100) + REQUEST);
    fixture.attempt(0).respond(200, "first", TestProtocol.SIGNED);
    fixture.attempt(1).respond(200, "last", TestProtocol.SIGNED);
    String text = received();
    assertEquals(100, text.split("HTTP/1.1 404 ", -1).length - 1);
    assertTrue(text.endsWith("last"));
    assertTrue(channel.isOpen());
  }

  @Test
  void ambiguouslyFramedRequestsAreNotForwarded() {
    List<String> requests =
        List.of(
            HEAD + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            HEAD + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody1",
            HEAD + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
            HEAD + "Content-Length: +4\r\n\r\nbody",
            HEAD + "Content-Length: 4, 4\r\n\r\nbody",
            HEAD + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
            HEAD + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            HEAD + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            HEAD + "Host: other\r\nContent-Length: 0\r\n\r\n",
            HEAD + "Content-Length : 4\r\n\r\nbody",
            HEAD + "Transfer-Encoding: chunked\r\n\r\nz\r\nbody\r\n0\r\n\r\n",
            "POST http://host" + TARGET + " HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n",
            "POST " + TARGET + " HTTP/1.1\r\nid: 1\r\nContent-Length: 0\r\n\r\n",
            "POST " + TARGET + " HTTP/1.0\r\nHost: host\r\nContent-Length: 0\r\n\r\n");
    for (String text : requests) {
      EmbeddedChannel c = connect();
      c.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
      ByteBuf response = c.readOutbound();
      String status = response.toString(StandardCharsets.ISO_8859_1).substring(9, 12);
      assertTrue(status.equals("400") || status.equals("505"), status + " to " + text);
      c.finishAndReleaseAll();
    }
    assertTrue(fixture.attempts.isEmpty());
  }

  @Test
  void requestTextInBodyIsNotParsedAsRequest() {
    String inner = "POST " + TARGET + " HTTP/1.1\r\nHost: host\r\nid: 2\r\n\r\n";
    send(HEAD + "Content-Length: " + inner.length() + "\r\n\r\n" + inner);
    assertEquals(1, fixture.attempts.size());
    assertEquals(inner, new String(fixture.attempt(0).request.body(), StandardCharsets.ISO_8859_1));
  }

  @Test
  void oversizedHeadAndBodyAreRejectedWithTheirStatus() {
    send(HEAD + "x: " + "y".repeat(2_000) + "\r\n\r\n");
    assertTrue(received().startsWith("HTTP/1.1 431"));
    EmbeddedChannel c = connect();
    c.writeInbound(
        Unpooled.copiedBuffer(HEAD + "Content-Length: 3000\r\n\r\n", StandardCharsets.ISO_8859_1));
    ByteBuf response = c.readOutbound();
    assertTrue(response.toString(StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 413"));
    c.finishAndReleaseAll();
  }

  @Test
  void chunkedBodyIsLimited() {
    send(HEAD + "Transfer-Encoding: chunked\r\n\r\n");
    String chunk = "400\r\n" + "z".repeat(0x400) + "\r\n";
    send(chunk + chunk);
    assertTrue(received().startsWith("HTTP/1.1 413"));
    assertTrue(fixture.attempts.isEmpty());
  }

  @Test
  void slowHeadAndIdleConnectionHaveSeparateTimeouts() {
    send("POST " + TARGET);
    fixture.timers.advanceMillis(LIMITS.headerTimeoutMillis());
    assertTrue(received().startsWith("HTTP/1.1 408"));
    EmbeddedChannel idle = connect();
    fixture.timers.advanceMillis(LIMITS.idleTimeoutMillis() - 1);
    assertTrue(idle.isOpen());
    fixture.timers.advanceMillis(1);
    assertFalse(idle.isOpen());
  }

  @Test
  void callerDisconnectCancelsAttempt() {
    send(REQUEST);
    channel.close();
    assertTrue(fixture.attempt(0).cancelled);
  }

  @Test
  void connectionClosesWhenTheCallerRequestsIt() {
    send(HEAD + "Connection: close\r\nContent-Length: 0\r\n\r\n");
    fixture.attempt(0).respond(200, "ok", TestProtocol.SIGNED);
    assertTrue(received().toLowerCase(Locale.ROOT).contains("connection: close"));
    assertFalse(channel.isOpen());
  }

  @Test
  void stoppingRouterClosesConnectionAfterResponse() {
    send(REQUEST);
    stopping = true;
    fixture.attempt(0).respond(200, "ok", TestProtocol.SIGNED);
    assertTrue(received().contains("ok"));
    assertFalse(channel.isOpen());
  }

  @Test
  void hopByHopHeadersAreNotForwarded() {
    send(
        HEAD
            + "Connection: keep-alive, x-hop\r\nx-hop: 1\r\nx-end: 2\r\nContent-Length: 0\r\n\r\n");
    assertFalse(fixture.attempt(0).request.headers().contains("x-hop"));
    assertFalse(fixture.attempt(0).request.headers().contains("connection"));
    assertTrue(fixture.attempt(0).request.headers().contains("x-end"));
  }
}
