package org.wigeonwharf.peer.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.PeerMessageHandler;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;

/** Tracks the open connections of each peer, newest first, and dispatches received messages. */
final class PeerConnections {
  private static final Logger LOG = LoggerFactory.getLogger(PeerConnections.class);

  private final Map<Topic, PeerMessageHandler> handlers = new EnumMap<>(Topic.class);
  private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
  private final Map<NodeId, Deque<Channel>> channels = new HashMap<>();
  private final Map<NodeId, Peer> peers = new HashMap<>();

  void registerHandler(Topic topic, PeerMessageHandler handler) {
    handlers.put(topic, handler);
  }

  void addListener(PeerListener listener) {
    listeners.add(listener);
  }

  void connectionOpened(Peer peer, Channel channel) {
    synchronized (this) {
      Deque<Channel> open = channels.computeIfAbsent(peer.node(), n -> new ArrayDeque<>());
      open.addFirst(channel);
      peers.put(peer.node(), peer);
      if (open.size() > 1) {
        return;
      }
    }
    listeners.forEach(l -> l.peerUp(peer));
  }

  void connectionClosed(Peer peer, Channel channel) {
    synchronized (this) {
      Deque<Channel> open = channels.get(peer.node());
      if (open == null || !open.remove(channel) || !open.isEmpty()) {
        return;
      }
      channels.remove(peer.node());
      peers.remove(peer.node());
    }
    listeners.forEach(l -> l.peerDown(peer));
  }

  /**
   * Sends a frame on a peer's newest connection. Closes a connection whose write buffer is full, so
   * that a slow peer cannot exhaust memory; both sides resynchronize after the peer reconnects.
   *
   * @return false if there is no active connection or its write buffer is full
   */
  boolean send(NodeId to, Frame frame) {
    Channel channel = findNewestChannel(to);
    if (channel == null || !channel.isActive()) {
      return false;
    }
    if (!channel.isWritable()) {
      LOG.atWarn()
          .addKeyValue("event", "peer.slow")
          .addKeyValue("peer", to)
          .log("write buffer of peer connection is full; closing it");
      channel.close();
      return false;
    }
    channel.writeAndFlush(frame);
    return true;
  }

  private synchronized @Nullable Channel findNewestChannel(NodeId node) {
    Deque<Channel> open = channels.get(node);
    return open == null ? null : open.peekFirst();
  }

  synchronized boolean isConnectedTo(InetSocketAddress address) {
    return peers.values().stream().anyMatch(p -> p.address().equals(address));
  }

  synchronized Collection<Peer> peers() {
    return new ArrayList<>(peers.values());
  }

  void dispatch(Peer from, int topicNumber, byte[] body) throws InvalidProtocolBufferException {
    Topic topic = Topic.fromNumber(topicNumber);
    PeerMessageHandler handler = topic == null ? null : handlers.get(topic);
    if (handler != null) {
      handler.handleMessage(from, body);
    }
  }
}
