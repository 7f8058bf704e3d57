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
public final class LiveSet {
  /** Silence after which a connected peer is suspected. */
  public static final long SUSPECT_AFTER_NANOS = 1_500 * Clock.NANOS_PER_MILLI;

  private final Peer self;
  private final Map<NodeId, Heard> heard = new HashMap<>();
  private List<EntryVm> vmList = List.of();
  private boolean selfLeaving;

  private record Heard(
      Peer peer, long atNanos, boolean leaving, long revision, long contactAgeMillis) {}

  /**
   * Creates a set with only this process.
   *
   * @param self the own process
   */
  public LiveSet(Peer self) {
    this.self = self;
  }

  /**
   * Takes a newly read VM list.
   *
   * @param vms all rows
   */
  public void vmList(List<EntryVm> vms) {
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
    heard.keySet().removeIf(n -> n.name().equals(peer.node().name()));
    if (!peer.node().name().equals(self.node().name())) {
      heard.put(peer.node(), new Heard(peer, nowNanos, false, 0, -1));
    }
  }

  /**
   * Notes that a peer's last connection has closed.
   *
   * @param peer the peer
   */
  public void peerDown(Peer peer) {
    heard.remove(peer.node());
  }

  /**
   * Notes a heartbeat.
   *
   * @param peer the sender
   * @param leaving whether it is stopping
   * @param revision its configuration revision
   * @param contactAgeMillis age of its last platform contact, or -1
   * @param nowNanos the current time
   */
  public void heartbeat(
      Peer peer, boolean leaving, long revision, long contactAgeMillis, long nowNanos) {
    if (heard.containsKey(peer.node())) {
      heard.put(peer.node(), new Heard(peer, nowNanos, leaving, revision, contactAgeMillis));
    }
  }

  /**
   * Notes that this process did not run for a while: its peers' silence says nothing of them.
   *
   * @param nowNanos the current time, from which connected peers may be silent again
   */
  public void paused(long nowNanos) {
    heard.replaceAll(
        (n, h) -> new Heard(h.peer(), nowNanos, h.leaving(), h.revision(), h.contactAgeMillis()));
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
  public Collection<InetSocketAddress> addresses() {
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
   * @param ownRevision this process's configuration revision
   * @param ownContactAgeMillis age of this process's last platform contact, or -1
   * @return the view
   */
  public MembershipView view(long nowNanos, long ownRevision, long ownContactAgeMillis) {
    List<Member> members = new ArrayList<>();
    members.add(
        new Member(self, selfLeaving || isListedLeaving(self), ownRevision, ownContactAgeMillis));
    for (Heard h : heard.values()) {
      if (nowNanos - h.atNanos() <= SUSPECT_AFTER_NANOS) {
        boolean leaving = h.leaving() || isListedLeaving(h.peer());
        members.add(new Member(h.peer(), leaving, h.revision(), h.contactAgeMillis()));
      }
    }
    members.sort(Comparator.comparing(m -> m.peer().node()));
    return new MembershipView(self.node(), List.copyOf(members));
  }

  private boolean isListedLeaving(Peer peer) {
    return vmList.stream().anyMatch(v -> v.leaving() && v.peerAddress().equals(peer.address()));
  }
}
