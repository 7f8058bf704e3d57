package org.wigeonwharf.http;

import io.netty.buffer.ByteBuf;

/** Finds the end of an answer's body. Not thread-safe. */
interface BodyFraming {
  /**
   * Checks the next bytes.
   *
   * @param in the bytes; neither consumed nor changed
   * @return the number of bytes that belong to the body; fewer than there are if it ends
   * @throws MalformedAnswerException if they do not continue the body
   */
  int accept(ByteBuf in) throws MalformedAnswerException;

  /** A body of a known length. */
  final class OfLength implements BodyFraming {
    private long remaining;

    OfLength(long length) {
      this.remaining = length;
    }

    @Override
    public int accept(ByteBuf in) {
      int accepted = (int) Math.min(remaining, in.readableBytes());
      remaining -= accepted;
      return accepted;
    }
  }

  /** A body that ends with its connection. */
  final class UntilClose implements BodyFraming {
    @Override
    public int accept(ByteBuf in) {
      return in.readableBytes();
    }
  }
}
