package org.wigeonwharf.peer;

import com.google.protobuf.InvalidProtocolBufferException;

/** Handles the peer messages of one topic. */
@FunctionalInterface
public interface PeerMessageHandler {
  /**
   * Handles one message. Called on a transport thread, so it must not block.
   *
   * @param from the authenticated sender
   * @param body the serialized message
   * @throws InvalidProtocolBufferException if the body cannot be parsed; the transport then closes
   *     the connection
   */
  void handleMessage(Peer from, byte[] body) throws InvalidProtocolBufferException;
}
