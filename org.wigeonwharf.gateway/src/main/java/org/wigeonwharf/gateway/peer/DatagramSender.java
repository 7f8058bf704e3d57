package org.wigeonwharf.gateway.peer;

import java.net.InetSocketAddress;

/** A DatagramSender sends one datagram; it may get lost. */
@FunctionalInterface
interface DatagramSender {
  /**
   * Sends a datagram.
   *
   * @param to the receiver
   * @param bytes its content
   */
  void send(InetSocketAddress to, byte[] bytes);
}
