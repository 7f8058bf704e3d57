package org.wigeonwharf.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/**
 * Splits the bytes of a connection into frames, and rejects long ones until the remote side has
 * proved the fleet secret.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {
  /** Maximum length of a frame before authentication, in bytes. */
  static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

  static final int LENGTH_FIELD_BYTES = 4;

  private boolean authenticated;

  PeerFrameDecoder() {
    super(NettyPeerTransport.MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES);
  }

  /** Lifts the handshake limit once the remote side has proved the fleet secret. */
  void markAuthenticated() {
    authenticated = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
    long frameLength = super.getUnadjustedFrameLength(buffer, offset, length, order);
    if (!authenticated && frameLength > MAX_HANDSHAKE_FRAME_BYTES) {
      throw new TooLongFrameException(
          frameLength + " bytes exceed the frame limit before authentication");
    }
    return frameLength;
  }
}
