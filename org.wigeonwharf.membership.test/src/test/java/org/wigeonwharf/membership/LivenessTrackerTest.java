package org.wigeonwharf.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;

/**
 * Guards against a wrong set of live routers: a peer suspected too early, too late or for good, a
 * replaced incarnation that stays live, a VM list that lags behind the connections, and all peers
 * suspected at once after this process was paused.
 */
class LivenessTrackerTest {
  private static final long MILLI = Clock.NANOS_PER_MILLI;
  private static final FailureDomain DOMAIN = new FailureDomain("d0");

  private final Peer self = peer("self", 1);
  private final LivenessTracker tracker = new LivenessTracker(self);

  private static Peer peer(String name, long incarnation) {
    int port = 1 + Math.floorMod(name.hashCode(), 60_000);
    return new Peer(
        new NodeId(name, incarnation), DOMAIN, new InetSocketAddress("127.0.0.1", port));
  }

  private List<NodeId> liveAt(long millis) {
    return tracker.computeView(millis * MILLI, 1, 0).members().stream()
        .map(m -> m.peer().node())
        .toList();
  }

  private void recordHeartbeat(Peer peer, long millis) {
    tracker.recordHeartbeat(peer, false, 1, 0, millis * MILLI);
  }

  @Test
  void peerIsSuspectedOnlyAfterThreeMissedHeartbeatsAndLiveAgainAfterTheNext() {
    Peer p = peer("p", 1);
    tracker.peerUp(p, 0);
    assertTrue(liveAt(1_500).contains(p.node()));
    assertFalse(liveAt(1_501).contains(p.node()));
    recordHeartbeat(p, 2_000);
    assertTrue(liveAt(2_000).contains(p.node()));
  }

  @Test
  void peerIsRemovedAsSoonAsItsConnectionCloses() {
    Peer p = peer("p", 1);
    tracker.peerUp(p, 0);
    tracker.peerDown(p);
    recordHeartbeat(p, 1);
    assertEquals(List.of(self.node()), liveAt(1));
  }

  @Test
  void onlyMostRecentlyConnectedIncarnationOfEntryVmIsLive() {
    Peer old = peer("p", 900);
    Peer next = peer("p", 3);
    tracker.peerUp(old, 0);
    tracker.peerUp(next, 100 * MILLI);
    recordHeartbeat(old, 200);
    assertEquals(List.of(next.node(), self.node()), liveAt(200));
    tracker.peerDown(old);
    assertEquals(List.of(next.node(), self.node()), liveAt(200));
  }

  @Test
  void formerIncarnationOfOwnEntryVmIsIgnored() {
    tracker.peerUp(peer("self", 7), 0);
    assertEquals(List.of(self.node()), liveAt(1));
  }

  @Test
  void unlistedPeerIsCandidateAndPeerListedAsLeavingIsNot() {
    Peer p = peer("p", 1);
    tracker.updateVmList(List.of());
    tracker.peerUp(p, 0);
    assertTrue(tracker.computeView(1, 1, 0).candidates(DOMAIN).contains(p.node()));
    tracker.updateVmList(List.of(new EntryVm("p", DOMAIN, p.address(), true)));
    assertFalse(tracker.computeView(1, 1, 0).candidates(DOMAIN).contains(p.node()));
    assertTrue(liveAt(0).contains(p.node()));
  }

  @Test
  void peersAreNotSuspectedForHeartbeatsMissedDuringOwnPause() {
    Peer p = peer("p", 1);
    tracker.peerUp(p, 0);
    tracker.recordPause(9_000 * MILLI);
    assertTrue(liveAt(9_500).contains(p.node()));
    assertFalse(liveAt(10_501).contains(p.node()));
  }
}
