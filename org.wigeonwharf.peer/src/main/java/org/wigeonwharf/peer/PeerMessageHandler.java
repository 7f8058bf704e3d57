package org.wigeonwharf.peer;

import com.google.protobuf.InvalidProtocolBufferException;

/** A PeerHandler takes the messages of one topic. */
@FunctionalInterface
public interface PeerMessageHandler {
  /**
   * Takes one message. Called on a transport thread: it must not block.
   *
   * @param from the authenticated sender
   * @param body the message's bytes
   * @throws InvalidProtocolBufferException if the body can't be read; the transport then closes the
   *     connection
   */
  void handleMessage(Peer from, byte[] body) throws InvalidProtocolBufferException;
}
