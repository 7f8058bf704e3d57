package org.wigeonwharf.relay;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.PeerMessageHandler;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;

/** A peer transport without peers. */
final class DisconnectedTransport implements PeerTransport {
  @Override
  public Peer self() {
    throw new IllegalStateException("there are no peers");
  }

  @Override
  public void registerHandler(Topic topic, PeerMessageHandler handler) {}

  @Override
  public void addListener(PeerListener listener) {}

  @Override
  public void connectTo(Collection<InetSocketAddress> addresses) {}

  @Override
  public boolean send(NodeId to, Topic topic, byte[] body) {
    return false;
  }

  @Override
  public Collection<Peer> peers() {
    return List.of();
  }

  @Override
  public void start() {}

  @Override
  public void stop() {}
}
