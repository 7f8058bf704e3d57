package org.wigeonwharf.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;

/**
 * A LiveSet decides which routers are live from the VM list, open connections and heartbeats.
 *
 * <p>A peer is live while its connection is open and its last heartbeat is recent. The VM list says
 * where to look for peers and which are leaving; a peer that is heard counts even if the list has
 * not caught up with it. Not thread-safe.
 */
public final class LivenessTracker {
  /** Silence after which a connected peer is suspected. */
  public static final long SUSPECT_AFTER_NANOS = 1_500 * Clock.NANOS_PER_MILLI;

  private final Peer self;
  private final Map<NodeId, PeerStatus> connectedPeers = new HashMap<>();
  private List<EntryVm> vmList = List.of();
  private boolean selfLeaving;

  private record PeerStatus(
      Peer peer, long lastSeenNanos, boolean leaving, long configRevision, long contactAgeMillis) {}

  /**
   * Creates a set with only this process.
   *
   * @param self the own process
   */
  public LivenessTracker(Peer self) {
    this.self = self;
  }

  /**
   * Takes a newly read VM list.
   *
   * @param vms all rows
   */
  public void updateVmList(List<EntryVm> vms) {
    vmList = List.copyOf(vms);
  }

  /**
   * Notes that a peer's connection has opened. An older connection's incarnation of the same entry
   * VM is dropped at once and stays out, whatever still comes from it.
   *
   * @param peer the peer
   * @param nowNanos the current time
   */
  public void peerUp(Peer peer, long nowNanos) {
    connectedPeers.keySet().removeIf(n -> n.name().equals(peer.node().name()));
    if (!peer.node().name().equals(self.node().name())) {
      connectedPeers.put(peer.node(), new PeerStatus(peer, nowNanos, false, 0, -1));
    }
  }

  /**
   * Notes that a peer's last connection has closed.
   *
   * @param peer the peer
   */
  public void peerDown(Peer peer) {
    connectedPeers.remove(peer.node());
  }

  /**
   * Notes a heartbeat.
   *
   * @param peer the sender
   * @param leaving whether it is stopping
   * @param configRevision its configuration revision
   * @param contactAgeMillis age of its last platform contact, or -1
   * @param nowNanos the current time
   */
  public void recordHeartbeat(
      Peer peer, boolean leaving, long configRevision, long contactAgeMillis, long nowNanos) {
    if (connectedPeers.containsKey(peer.node())) {
      connectedPeers.put(
          peer.node(), new PeerStatus(peer, nowNanos, leaving, configRevision, contactAgeMillis));
    }
  }

  /**
   * Notes that this process did not run for a while: its peers' silence says nothing of them.
   *
   * @param nowNanos the current time, from which connected peers may be silent again
   */
  public void recordPause(long nowNanos) {
    connectedPeers.replaceAll(
        (n, h) ->
            new PeerStatus(
                h.peer(), nowNanos, h.leaving(), h.configRevision(), h.contactAgeMillis()));
  }

  /** Notes that this process is stopping and gives up every scheduler role. */
  public void leave() {
    selfLeaving = true;
  }

  /**
   * Returns the peers to keep connections to.
   *
   * @return peer addresses of the VM list, this process's own left out
   */
  public Collection<InetSocketAddress> peerAddresses() {
    return vmList.stream()
        .map(EntryVm::peerAddress)
        .filter(a -> !a.equals(self.address()))
        .distinct()
        .toList();
  }

  /**
   * Decides who is live.
   *
   * @param nowNanos the current time
   * @param ownConfigRevision this process's configuration revision
   * @param ownContactAgeMillis age of this process's last platform contact, or -1
   * @return the view
   */
  public MembershipView computeView(
      long nowNanos, long ownConfigRevision, long ownContactAgeMillis) {
    List<Member> members = new ArrayList<>();
    members.add(
        new Member(
            self, selfLeaving || isListedLeaving(self), ownConfigRevision, ownContactAgeMillis));
    for (PeerStatus h : connectedPeers.values()) {
      if (nowNanos - h.lastSeenNanos() <= SUSPECT_AFTER_NANOS) {
        boolean leaving = h.leaving() || isListedLeaving(h.peer());
        members.add(new Member(h.peer(), leaving, h.configRevision(), h.contactAgeMillis()));
      }
    }
    members.sort(Comparator.comparing(m -> m.peer().node()));
    return new MembershipView(self.node(), List.copyOf(members));
  }

  private boolean isListedLeaving(Peer peer) {
    return vmList.stream().anyMatch(v -> v.leaving() && v.peerAddress().equals(peer.address()));
  }
}
