package org.wigeonwharf.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import org.jspecify.annotations.Nullable;

/**
 * Lets only the bytes of one answer pass that HTTP allows, ahead of a decoder that accepts more.
 *
 * <p>Keeps a head back until it is complete, so that one that is cut short is no answer. Drops
 * interim answers and all that follows the answer. After an error nothing else passes.
 */
final class AnswerValidator extends ChannelInboundHandlerAdapter {
  /** Maximum size of a head in bytes; that of the decoder is lower. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  private static final int MAX_INTERIM_ANSWERS = 16;

  private final HttpMethod method;
  private final ByteArrayOutputStream headBytes = new ByteArrayOutputStream(512);
  private final StringBuilder line = new StringBuilder();
  private AnswerHead head = new AnswerHead();
  private @Nullable BodyFraming framing;
  private int interimAnswers;
  private boolean ended;

  AnswerValidator(HttpMethod method) {
    this.method = method;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf in = (ByteBuf) message;
    try {
      if (!ended) {
        read(ctx, in);
      }
    } catch (MalformedAnswerException e) {
      ended = true;
      ctx.fireExceptionCaught(e);
    } finally {
      ReferenceCountUtil.release(in);
    }
  }

  private void read(ChannelHandlerContext ctx, ByteBuf in) throws MalformedAnswerException {
    while (framing == null && in.isReadable()) {
      readHead(ctx, in);
    }
    BodyFraming f = framing;
    if (f == null || !in.isReadable()) {
      return;
    }
    int accepted = f.accept(in);
    ended = accepted < in.readableBytes();
    if (accepted > 0) {
      ctx.fireChannelRead(in.readRetainedSlice(accepted));
    }
  }

  /** Reads one byte of the head, and passes the head on with its last one. */
  private void readHead(ChannelHandlerContext ctx, ByteBuf in) throws MalformedAnswerException {
    byte b = in.readByte();
    headBytes.write(b);
    if (headBytes.size() > MAX_HEAD_BYTES) {
      throw new MalformedAnswerException("the head is too long");
    }
    if (b != '\n') {
      line.append((char) (b & 0xFF));
      return;
    }
    String text = AnswerSyntax.withoutLineEnd(line);
    line.setLength(0);
    if (!text.isEmpty()) {
      head.add(text);
      return;
    }
    BodyFraming f = head.framing(method);
    if (head.isInterim()) {
      skipInterim();
      return;
    }
    framing = f;
    ctx.fireChannelRead(Unpooled.wrappedBuffer(headBytes.toByteArray()));
  }

  private void skipInterim() throws MalformedAnswerException {
    interimAnswers++;
    if (interimAnswers > MAX_INTERIM_ANSWERS) {
      throw new MalformedAnswerException("interim answers without a final one");
    }
    headBytes.reset();
    head = new AnswerHead();
  }
}
