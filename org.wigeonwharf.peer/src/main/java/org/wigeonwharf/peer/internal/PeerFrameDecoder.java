package org.wigeonwharf.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/**
 * A PeerFrameDecoder splits a connection's bytes into frames, and lets a peer that has not yet
 * proved the fleet secret send only short ones.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {
  /** Longest frame before the proof, in bytes. */
  static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

  static final int LENGTH_FIELD_BYTES = 4;

  private boolean authenticated;

  PeerFrameDecoder() {
    super(NettyPeerTransport.MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
  }

  /** Notes that the peer has proved the fleet secret. */
  void markAuthenticated() {
    authenticated = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
    long frameLength = super.getUnadjustedFrameLength(buffer, offset, length, order);
    if (!authenticated && frameLength > MAX_HANDSHAKE_FRAME_BYTES) {
      throw new TooLongFrameException(frameLength + " bytes before the proof");
    }
    return frameLength;
  }
}
