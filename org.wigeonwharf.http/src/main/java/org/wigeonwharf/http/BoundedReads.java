package org.wigeonwharf.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Bounds what is read from one connection before the event loop serves others and its timers.
 *
 * <p>A few bytes can be a whole message, such as an empty chunk or a pipelined request, so a bound
 * on bytes also bounds the work that they cause.
 */
public final class BoundedReads {
  /** Maximum number of bytes that are read from a connection in one pass of the event loop. */
  public static final int MAX_BYTES = 16 * 1024;

  private static final int MIN_BYTES = 64;
  private static final int INITIAL_BYTES = 2 * 1024;

  private BoundedReads() {}

  /**
   * Creates an allocator for the connections of one bootstrap.
   *
   * @return an allocator of buffers of which one is filled in each pass
   */
  public static RecvByteBufAllocator allocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES)
        .maxMessagesPerRead(1);
  }
}
