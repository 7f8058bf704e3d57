package org.wigeonwharf.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.IOException;

/**
 * Tells the orderly end of a connection from its loss, ahead of a decoder that takes either for the
 * end of an answer without a length.
 *
 * <p>Once a write has failed, the kernel has reported a reset, and the read after it looks like an
 * orderly end. Requires that half closure is allowed, since an end that the server did not cause
 * closes the connection without that event.
 */
final class OrderlyEndHandler extends ChannelDuplexHandler {
  private boolean broken;
  private boolean ended;

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    ctx.write(message, promise.unvoid().addListener(f -> broken |= !f.isSuccess()));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken = true;
    ctx.fireExceptionCaught(cause);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      end(ctx, !broken);
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    end(ctx, false);
    ctx.fireChannelInactive();
  }

  private void end(ChannelHandlerContext ctx, boolean orderly) {
    if (!ended) {
      ended = true;
      if (!orderly) {
        ctx.fireExceptionCaught(new IOException("the connection broke"));
      }
    }
  }
}
