package org.wigeonwharf.gateway.peer;

import java.net.InetSocketAddress;

/** Sends datagrams without delivery guarantee. */
@FunctionalInterface
interface DatagramSender {
  /**
   * Sends a datagram, which may be lost.
   *
   * @param destination the receiver's address
   * @param datagram the payload
   */
  void send(InetSocketAddress destination, byte[] datagram);
}
