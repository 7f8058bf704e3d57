package org.wigeonwharf.peer;

import java.net.InetSocketAddress;
import java.util.Collection;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;

/**
 * A PeerTransport carries messages between routers that share a fleet secret.
 *
 * <p>Messages on one connection arrive in order. A message that could not be sent, or was in flight
 * when a connection closed, is lost without notice: slices re-send what they need.
 */
public interface PeerTransport extends Lifecycle {
  /**
   * Returns this process as its peers see it.
   *
   * @return the own identity with the bound peer address
   */
  Peer self();

  /**
   * Registers the handler of a topic; called before {@link #start()}.
   *
   * @param topic the topic
   * @param handler takes the topic's messages
   */
  void registerHandler(Topic topic, PeerMessageHandler handler);

  /**
   * Registers a listener; called before {@link #start()}.
   *
   * @param listener hears of peers that come and go
   */
  void addListener(PeerListener listener);

  /**
   * Replaces the set of addresses that this process keeps connections to.
   *
   * @param addresses the wanted peers; the own address is ignored
   */
  void connectTo(Collection<InetSocketAddress> addresses);

  /**
   * Sends a message. A message to this process itself is delivered on a transport thread.
   *
   * @param to the receiving process
   * @param topic the topic
   * @param body the message's bytes
   * @return false if there is no open connection to that process
   */
  boolean send(NodeId to, Topic topic, byte[] body);

  /**
   * Returns the peers with an open authenticated connection.
   *
   * @return a copy, without this process
   */
  Collection<Peer> peers();
}
