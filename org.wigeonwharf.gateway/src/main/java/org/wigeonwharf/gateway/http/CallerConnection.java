package org.wigeonwharf.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.model.Clock;

/**
 * A CallerConnection reads requests from one caller's connection, strictly, and writes the answers
 * in the order of the requests.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerChannel {
  /** Requests that a caller may send ahead of their answers before reading pauses. */
  private static final int MAX_PIPELINED = 8;

  /**
   * How long, in ms, a connection stays open for the bytes of a refused request, so that the caller
   * sees the answer rather than a reset.
   */
  private static final long LINGER_MILLIS = 500;

  private final Exchanges exchanges;
  private final CallerLimits limits;
  private final BooleanSupplier stopping;
  private final Timers timers;
  private final Deque<CallerRequest> waiting = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable Exchange exchange;
  private @Nullable HttpRequest head;
  private @Nullable ByteArrayOutputStream body;
  private Timers.@Nullable Timer readTimer;
  private boolean serving;
  private boolean beginning;
  private boolean closeAfter;
  private boolean rejected;
  private boolean closed;
  private boolean reading;

  CallerConnection(
      Exchanges exchanges, CallerLimits limits, BooleanSupplier stopping, Timers timers) {
    this.exchanges = exchanges;
    this.limits = limits;
    this.stopping = stopping;
    this.timers = timers;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    await(limits.idleTimeoutMillis(), this::close);
  }

  /** Notes that bytes have come, before they are decoded. */
  void bytesCame() {
    if (!reading && !serving) {
      reading = true;
      await(limits.headerTimeoutMillis(), () -> reject(HttpResponseStatus.REQUEST_TIMEOUT));
    }
  }

  private void await(long millis, Runnable action) {
    if (readTimer != null) {
      readTimer.cancel();
    }
    readTimer = timers.after(millis * Clock.NANOS_PER_MILLI, action);
  }

  private void stopWaiting() {
    if (readTimer != null) {
      readTimer.cancel();
      readTimer = null;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpObject part && !rejected && !closed) {
        read(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      reject(statusOf(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpRequest request && !readHead(request)) {
      return;
    }
    if (part instanceof HttpContent content) {
      readBody(content);
    }
  }

  private static HttpResponseStatus statusOf(Throwable cause) {
    return cause instanceof TooLongFrameException
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  private boolean readHead(HttpRequest request) {
    HttpResponseStatus fault = RequestCheck.fault(request, limits.maxBodyBytes());
    if (fault != null) {
      reject(fault);
      return false;
    }
    head = request;
    body = new ByteArrayOutputStream();
    if (!serving) {
      await(limits.idleTimeoutMillis(), () -> reject(HttpResponseStatus.REQUEST_TIMEOUT));
    }
    if (HttpUtil.is100ContinueExpected(request) && !serving) {
      ctx()
          .writeAndFlush(
              new DefaultFullHttpResponse(
                  HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    return true;
  }

  private void readBody(HttpContent content) {
    ByteArrayOutputStream b = body;
    HttpRequest h = head;
    if (b == null || h == null) {
      return;
    }
    int n = content.content().readableBytes();
    if (b.size() + n > limits.maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    byte[] bytes = new byte[n];
    content.content().readBytes(bytes);
    b.writeBytes(bytes);
    if (content instanceof LastHttpContent) {
      head = null;
      body = null;
      reading = false;
      take(h, b.toByteArray());
    }
  }

  private void take(HttpRequest request, byte[] bytes) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    HopHeaders.remove(headers);
    waiting.add(
        new CallerRequest(
            request.method(),
            request.uri(),
            headers,
            bytes,
            request.headers().get(HttpHeaderNames.HOST),
            timers.nanos()));
    if (!keepAlive) {
      closeAfter = true;
      rejected = true;
    }
    if (waiting.size() >= MAX_PIPELINED) {
      ctx().channel().config().setAutoRead(false);
    }
    next();
  }

  private void next() {
    if (serving || closed) {
      return;
    }
    CallerRequest r = waiting.poll();
    if (r == null) {
      ctx().channel().config().setAutoRead(true);
      if (!reading) {
        await(limits.idleTimeoutMillis(), this::close);
      }
      return;
    }
    stopWaiting();
    serving = true;
    beginning = true;
    Exchange e = exchanges.begin(r, this);
    beginning = false;
    if (serving) {
      exchange = e;
    } else {
      next();
    }
  }

  private void served(boolean mustClose) {
    serving = false;
    exchange = null;
    if (mustClose) {
      closed = true;
      stopWaiting();
      return;
    }
    if (!beginning) {
      next();
    }
  }

  /** Answers what can't be read as a request, and closes. */
  private void reject(HttpResponseStatus status) {
    if (rejected || closed) {
      return;
    }
    rejected = true;
    head = null;
    body = null;
    stopWaiting();
    if (serving) {
      // The answer to the request before is still due; the connection ends after it.
      closeAfter = true;
      return;
    }
    closed = true;
    HttpHeaders headers = Refusals.headers(0);
    headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    ctx().writeAndFlush(whole(status.code(), headers, Refusals.body(status.reasonPhrase())));
    timers.after(LINGER_MILLIS * Clock.NANOS_PER_MILLI, () -> ctx().close());
  }

  private ChannelHandlerContext ctx() {
    ChannelHandlerContext c = context;
    if (c == null) {
      throw new IllegalStateException("not added to a pipeline");
    }
    return c;
  }

  private static DefaultFullHttpResponse whole(int status, HttpHeaders headers, byte[] bytes) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status),
        Unpooled.wrappedBuffer(bytes),
        headers,
        new DefaultHttpHeaders());
  }

  private boolean mustClose() {
    return (closeAfter && waiting.isEmpty()) || stopping.getAsBoolean();
  }

  @Override
  public void answer(int status, HttpHeaders headers, byte[] bytes) {
    boolean last = mustClose();
    if (last) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    var written = ctx().writeAndFlush(whole(status, headers, bytes));
    if (last) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    served(last);
  }

  @Override
  public void begin(int status, HttpHeaders headers) {
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    if (mustClose()) {
      closeAfter = true;
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ctx()
        .write(
            new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
  }

  @Override
  public void send(byte[] bytes) {
    ctx().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  @Override
  public void end() {
    boolean last = mustClose();
    var written = ctx().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (last) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    served(last);
  }

  @Override
  public void abort() {
    served(true);
    ctx().close();
  }

  /** Tells whether an answer is due or not yet handed to the caller. */
  boolean isAnswering() {
    return serving || closed;
  }

  /** Closes the connection if no request is under way or half read. */
  void closeIfIdle() {
    if (!serving && !reading) {
      close();
    }
  }

  /** Ends the request under way, if any. */
  void stopNow() {
    Exchange e = exchange;
    if (e != null) {
      e.stopping();
    }
    close();
  }

  private void close() {
    closed = true;
    stopWaiting();
    ctx().close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Exchange e = exchange;
    if (e != null) {
      e.callerWritable(ctx.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    stopWaiting();
    waiting.clear();
    Exchange e = exchange;
    if (e != null) {
      exchange = null;
      e.callerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The caller's end is gone or broken; channelInactive follows.
    ctx.close();
  }
}
