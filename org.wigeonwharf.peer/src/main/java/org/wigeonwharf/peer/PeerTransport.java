package org.wigeonwharf.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;

/**
 * Carries messages between routers that share a fleet secret.
 *
 * <p>Messages on one connection arrive in order. Delivery is not guaranteed: a message that is
 * queued or in flight when its connection closes is lost without notice, so senders must resend
 * what they need.
 */
public interface PeerTransport extends Lifecycle {
  /**
   * Returns this process as its peers identify it.
   *
   * @return the identity of this process, with its bound peer address
   * @throws IllegalStateException if the transport has not started
   */
  Peer self();

  /**
   * Registers the handler of a topic. Must be called before {@link #start()}.
   *
   * @param topic the topic
   * @param handler receives the topic's messages
   */
  void registerHandler(Topic topic, PeerMessageHandler handler);

  /**
   * Registers a connection listener. Must be called before {@link #start()}.
   *
   * @param listener notified when peers connect and disconnect
   */
  void addListener(PeerListener listener);

  /**
   * Replaces the set of peer addresses to which this process keeps connections open.
   *
   * @param addresses the peer addresses; the address of this process is ignored
   */
  void connectTo(Collection<InetSocketAddress> addresses);

  /**
   * Sends a message. A message to this process itself is also delivered on a transport thread.
   *
   * @param to the receiving process
   * @param topic the topic
   * @param body the serialized message
   * @return false if the message was not sent: there is no open connection to that process, or its
   *     write buffer is full
   */
  boolean send(NodeId to, Topic topic, byte[] body);

  /**
   * Returns the peers with an open authenticated connection.
   *
   * @return a copy that does not contain this process
   */
  Collection<Peer> peers();
}
