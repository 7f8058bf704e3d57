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
 * Determines which routers are live from the VM list, open connections and heartbeats.
 *
 * <p>A peer is live while its connection is open and its last heartbeat is recent. The VM list
 * supplies the addresses to connect to and marks VMs that are leaving; it may lag, so a connected
 * peer is live even if it is not listed yet. Not thread-safe.
 */
public final class LivenessTracker {
  /** Time without a heartbeat until a connected peer is suspected: three heartbeat intervals. */
  public static final long SUSPECT_AFTER_NANOS = 1_500 * Clock.NANOS_PER_MILLI;

  private final Peer self;
  private final Map<NodeId, PeerStatus> connectedPeers = new HashMap<>();
  private List<EntryVm> vmList = List.of();
  private boolean selfLeaving;

  private record PeerStatus(
      Peer peer, long lastSeenNanos, boolean leaving, long configRevision, long contactAgeMillis) {}

  /**
   * Creates a tracker that knows only this process.
   *
   * @param self this process
   */
  public LivenessTracker(Peer self) {
    this.self = self;
  }

  /**
   * Replaces the VM list by a newly read one.
   *
   * @param vms all entry VMs in the list
   */
  public void updateVmList(List<EntryVm> vms) {
    vmList = List.copyOf(vms);
  }

  /**
   * Adds a peer whose first connection has opened. An incarnation of the same entry VM that
   * connected earlier is removed at once, and its later heartbeats are ignored. Another incarnation
   * of this process's own entry VM is not added.
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
   * Removes a peer whose last connection has closed.
   *
   * @param peer the peer
   */
  public void peerDown(Peer peer) {
    connectedPeers.remove(peer.node());
  }

  /**
   * Records a heartbeat. Ignores it if the sender is not a tracked peer.
   *
   * @param peer the sender
   * @param leaving whether the sender is stopping
   * @param configRevision the sender's configuration revision
   * @param contactAgeMillis age of the sender's last contact with the platform, or -1 for never
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
   * Records that this process was paused. Heartbeats missed during the pause are no sign of failed
   * peers, so the suspicion timeout of every connected peer restarts.
   *
   * @param nowNanos the current time, from which the timeouts run
   */
  public void recordPause(long nowNanos) {
    connectedPeers.replaceAll(
        (n, h) ->
            new PeerStatus(
                h.peer(), nowNanos, h.leaving(), h.configRevision(), h.contactAgeMillis()));
  }

  /** Marks this process as leaving, so that it is no scheduler candidate any more. */
  public void leave() {
    selfLeaving = true;
  }

  /**
   * Returns the addresses to keep connections to.
   *
   * @return the distinct peer addresses in the VM list, without this process's own
   */
  public Collection<InetSocketAddress> peerAddresses() {
    return vmList.stream()
        .map(EntryVm::peerAddress)
        .filter(a -> !a.equals(self.address()))
        .distinct()
        .toList();
  }

  /**
   * Computes the current membership view.
   *
   * @param nowNanos the current time
   * @param ownConfigRevision this process's configuration revision
   * @param ownContactAgeMillis age of this process's last contact with the platform, or -1 for
   *     never
   * @return this process and all live peers, sorted by node
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
