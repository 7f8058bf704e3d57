package org.wigeonwharf.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.util.Arrays;
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

  private static final int INITIAL_HEAD_BYTES = 512;
  private static final int MAX_INTERIM_ANSWERS = 16;

  private final HttpMethod method;
  private byte[] headBytes = new byte[INITIAL_HEAD_BYTES];
  private int headLength;
  private int lineStart;
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

  /** Reads one line of the head, and passes the head on with its last one. */
  private void readHead(ChannelHandlerContext ctx, ByteBuf in) throws MalformedAnswerException {
    int lineFeed = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
    append(in, lineFeed < 0 ? in.readableBytes() : lineFeed + 1 - in.readerIndex());
    if (lineFeed < 0) {
      return;
    }
    int from = lineStart;
    int to = AnswerSyntax.endOfLine(headBytes, from, headLength - 1);
    lineStart = headLength;
    if (to > from) {
      head.add(headBytes, from, to);
      return;
    }
    BodyFraming f = head.framing(method);
    if (head.isInterim()) {
      skipInterim();
      return;
    }
    framing = f;
    ctx.fireChannelRead(Unpooled.wrappedBuffer(headBytes, 0, headLength));
  }

  private void append(ByteBuf in, int count) throws MalformedAnswerException {
    if (headLength + count > MAX_HEAD_BYTES) {
      throw new MalformedAnswerException("the head is too long");
    }
    if (headLength + count > headBytes.length) {
      headBytes = Arrays.copyOf(headBytes, Math.max(headLength + count, 2 * headBytes.length));
    }
    in.readBytes(headBytes, headLength, count);
    headLength += count;
  }

  private void skipInterim() throws MalformedAnswerException {
    interimAnswers++;
    if (interimAnswers > MAX_INTERIM_ANSWERS) {
      throw new MalformedAnswerException("interim answers without a final one");
    }
    headLength = 0;
    lineStart = 0;
    head = new AnswerHead();
  }
}
