package org.wigeonwharf.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.model.Clock;

/**
 * Reads requests from one caller's connection, with strict validation, and writes the responses in
 * the order of the requests.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerChannel {
  /** Maximum number of pipelined requests queued before reading pauses. */
  private static final int MAX_PIPELINED = 8;

  /**
   * How long, in ms, a connection stays open for the remaining bytes of a rejected request, so that
   * the caller receives the response rather than a reset.
   */
  private static final long LINGER_MILLIS = 500;

  private final ExchangeManager exchanges;
  private final Supplier<CallerLimits> currentLimits;
  private final BooleanSupplier stopping;
  private final Timers timers;
  private final Deque<CallerRequest> pipelined = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable Exchange exchange;
  private @Nullable HttpRequest head;
  private @Nullable ByteArrayOutputStream body;
  private Timers.@Nullable Timer readTimer;
  private CallerLimits requestLimits;
  private long idleSince;
  private boolean serving;
  private boolean startingExchange;
  private boolean closeAfterResponse;
  private boolean ignoreInput;
  private boolean closed;
  private boolean reading;
  private int unwrittenResponses;
  private boolean closeWhenWritten;
  private long unreadBytes = Long.MAX_VALUE;

  /**
   * Creates the handler of a connection.
   *
   * @param exchanges handles the requests
   * @param currentLimits supplies the limits in force; those at the head of a request hold for it
   * @param stopping tells whether the router stops
   * @param timers clock and timers
   */
  CallerConnection(
      ExchangeManager exchanges,
      Supplier<CallerLimits> currentLimits,
      BooleanSupplier stopping,
      Timers timers) {
    this.exchanges = exchanges;
    this.currentLimits = currentLimits;
    this.requestLimits = currentLimits.get();
    this.stopping = stopping;
    this.timers = timers;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    awaitRequest();
  }

  /** Closes the connection if no request begins within the idle timeout in force by then. */
  private void awaitRequest() {
    idleSince = timers.nanos();
    startReadTimer(currentLimits.get().idleTimeoutMillis(), this::closeUnlessLimitWasRaised);
  }

  private void closeUnlessLimitWasRaised() {
    long idleMillis = (timers.nanos() - idleSince) / Clock.NANOS_PER_MILLI;
    long remainingMillis = currentLimits.get().idleTimeoutMillis() - idleMillis;
    if (remainingMillis <= 0 && unwrittenResponses > 0 && hasReadOn()) {
      awaitRequest();
    } else if (remainingMillis > 0) {
      startReadTimer(remainingMillis, this::closeUnlessLimitWasRaised);
    } else {
      close();
    }
  }

  /** Tells whether the caller has read some of its responses since this was last asked. */
  private boolean hasReadOn() {
    ChannelOutboundBuffer buffer = ctx().channel().unsafe().outboundBuffer();
    long before = unreadBytes;
    unreadBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    return unreadBytes < before;
  }

  /**
   * Starts the header timeout when the first bytes of a request arrive. Called before the bytes are
   * decoded.
   */
  void onBytesReceived() {
    if (!reading && !serving) {
      reading = true;
      startReadTimer(
          currentLimits.get().headerTimeoutMillis(),
          () -> reject(HttpResponseStatus.REQUEST_TIMEOUT));
    }
  }

  private void startReadTimer(long millis, Runnable action) {
    if (readTimer != null) {
      readTimer.cancel();
    }
    readTimer = timers.schedule(millis * Clock.NANOS_PER_MILLI, action);
  }

  private void cancelReadTimer() {
    if (readTimer != null) {
      readTimer.cancel();
      readTimer = null;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpObject part && !ignoreInput && !closed) {
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
    requestLimits = currentLimits.get();
    HttpResponseStatus errorStatus = RequestValidator.validate(request, requestLimits);
    if (errorStatus != null) {
      reject(errorStatus);
      return false;
    }
    head = request;
    body = new ByteArrayOutputStream();
    if (!serving) {
      startReadTimer(
          requestLimits.idleTimeoutMillis(), () -> reject(HttpResponseStatus.REQUEST_TIMEOUT));
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
    if (b.size() + n > requestLimits.maxBodyBytes()) {
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
      enqueue(h, b.toByteArray());
    }
  }

  private void enqueue(HttpRequest request, byte[] bytes) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    HopByHopHeaders.remove(headers);
    pipelined.add(
        new CallerRequest(
            request.method(),
            request.uri(),
            headers,
            bytes,
            request.headers().get(HttpHeaderNames.HOST),
            timers.nanos()));
    if (!keepAlive) {
      closeAfterResponse = true;
      ignoreInput = true;
    }
    if (pipelined.size() >= MAX_PIPELINED) {
      ctx().channel().config().setAutoRead(false);
    }
    serveNext();
  }

  private void serveNext() {
    while (!serving && !closed) {
      CallerRequest r = pipelined.poll();
      if (r == null) {
        ctx().channel().config().setAutoRead(true);
        if (!reading) {
          awaitRequest();
        }
        return;
      }
      cancelReadTimer();
      serving = true;
      startingExchange = true;
      Exchange e = exchanges.begin(r, this);
      startingExchange = false;
      if (serving) {
        exchange = e;
      }
    }
  }

  private void finishRequest(boolean closing) {
    serving = false;
    exchange = null;
    if (closing) {
      closed = true;
      cancelReadTimer();
      return;
    }
    if (!startingExchange) {
      serveNext();
    }
  }

  /**
   * Rejects an invalid, oversized or late request and closes the connection. If the response to an
   * earlier request is pending, the connection closes after that response without sending the
   * status.
   */
  private void reject(HttpResponseStatus status) {
    if (ignoreInput || closed) {
      return;
    }
    ignoreInput = true;
    head = null;
    body = null;
    cancelReadTimer();
    if (serving) {
      closeAfterResponse = true;
      return;
    }
    closed = true;
    HttpHeaders headers = ErrorResponses.headers(0);
    headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    ctx()
        .writeAndFlush(
            fullResponse(status.code(), headers, ErrorResponses.body(status.reasonPhrase())));
    timers.schedule(LINGER_MILLIS * Clock.NANOS_PER_MILLI, () -> ctx().close());
  }

  private ChannelHandlerContext ctx() {
    ChannelHandlerContext c = context;
    if (c == null) {
      throw new IllegalStateException("not added to a pipeline");
    }
    return c;
  }

  private static DefaultFullHttpResponse fullResponse(
      int status, HttpHeaders headers, byte[] bytes) {
    headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status),
        Unpooled.wrappedBuffer(bytes),
        headers,
        new DefaultHttpHeaders());
  }

  private boolean mustClose() {
    return (closeAfterResponse && pipelined.isEmpty()) || stopping.getAsBoolean();
  }

  @Override
  public void sendResponse(int status, HttpHeaders headers, byte[] bytes) {
    boolean last = mustClose();
    if (last) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    finishResponse(ctx().writeAndFlush(fullResponse(status, headers, bytes)), last);
  }

  /** Ends a request whose response has been handed over to be written. */
  private void finishResponse(ChannelFuture written, boolean last) {
    unwrittenResponses++;
    written.addListener(f -> recordWritten());
    if (last) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    finishRequest(last);
  }

  private void recordWritten() {
    unwrittenResponses--;
    unreadBytes = Long.MAX_VALUE;
    if (unwrittenResponses > 0 || serving || closed) {
      return;
    }
    if (closeWhenWritten && !reading) {
      close();
    } else if (!reading) {
      awaitRequest();
    }
  }

  @Override
  public void beginResponse(int status, HttpHeaders headers) {
    headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    if (mustClose()) {
      closeAfterResponse = true;
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ctx()
        .write(
            new DefaultHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
  }

  @Override
  public void sendBody(byte[] bytes) {
    ctx().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  @Override
  public void endResponse() {
    boolean last = mustClose();
    finishResponse(ctx().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), last);
  }

  @Override
  public void abort() {
    finishRequest(true);
    ctx().close();
  }

  /** Tells whether a response is pending or not yet fully written to the caller. */
  boolean hasPendingResponse() {
    return serving || closed || unwrittenResponses > 0;
  }

  /**
   * Closes the connection if no request is in progress or partially read, once the caller has been
   * sent all of its responses.
   */
  void closeIfIdle() {
    if (serving || reading) {
      return;
    }
    if (unwrittenResponses > 0) {
      closeWhenWritten = true;
    } else {
      close();
    }
  }

  /** Ends the request in progress, if any, and closes the connection. */
  void stopNow() {
    Exchange e = exchange;
    if (e != null) {
      e.abortForShutdown();
    }
    close();
  }

  private void close() {
    closed = true;
    cancelReadTimer();
    ctx().close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Exchange e = exchange;
    if (e != null) {
      e.setCallerWritable(ctx.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    cancelReadTimer();
    pipelined.clear();
    Exchange e = exchange;
    if (e != null) {
      exchange = null;
      e.onCallerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The connection failed; channelInactive follows.
    ctx.close();
  }
}
