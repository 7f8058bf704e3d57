package org.wigeonwharf.gateway.peer;

import java.net.InetSocketAddress;

/** A DatagramSender sends one datagram; it may get lost. */
@FunctionalInterface
interface DatagramSender {
  /**
   * Sends a datagram.
   *
   * @param destination the receiver
   * @param datagram its content
   */
  void send(InetSocketAddress destination, byte[] datagram);
}
