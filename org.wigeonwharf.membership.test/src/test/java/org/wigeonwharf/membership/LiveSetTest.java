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

class LiveSetTest {
  private static final long MILLI = Clock.NANOS_PER_MILLI;
  private static final FailureDomain DOMAIN = new FailureDomain("d0");

  private final Peer self = peer("self", 1);
  private final LiveSet set = new LiveSet(self);

  private static Peer peer(String name, long incarnation) {
    int port = 1 + Math.floorMod(name.hashCode(), 60_000);
    return new Peer(
        new NodeId(name, incarnation), DOMAIN, new InetSocketAddress("127.0.0.1", port));
  }

  private List<NodeId> liveAt(long millis) {
    return set.view(millis * MILLI, 1, 0).members().stream().map(m -> m.peer().node()).toList();
  }

  private void beat(Peer peer, long millis) {
    set.heartbeat(peer, false, 1, 0, millis * MILLI);
  }

  @Test
  void peerIsSuspectedOnlyAfterThreeMissedHeartbeatsAndTrustedAgainWhenHeard() {
    Peer p = peer("p", 1);
    set.peerUp(p, 0);
    assertTrue(liveAt(1_500).contains(p.node()));
    assertFalse(liveAt(1_501).contains(p.node()));
    beat(p, 2_000);
    assertTrue(liveAt(2_000).contains(p.node()));
  }

  @Test
  void closedConnectionCountsAtOnce() {
    Peer p = peer("p", 1);
    set.peerUp(p, 0);
    set.peerDown(p);
    beat(p, 1);
    assertEquals(List.of(self.node()), liveAt(1));
  }

  @Test
  void replacedEntryVmCountsOnlyAsItsNewestConnection() {
    Peer old = peer("p", 900);
    Peer next = peer("p", 3);
    set.peerUp(old, 0);
    set.peerUp(next, 100 * MILLI);
    beat(old, 200);
    assertEquals(List.of(next.node(), self.node()), liveAt(200));
    set.peerDown(old);
    assertEquals(List.of(next.node(), self.node()), liveAt(200));
  }

  @Test
  void formerIncarnationOfOwnEntryVmIsNoMember() {
    set.peerUp(peer("self", 7), 0);
    assertEquals(List.of(self.node()), liveAt(1));
  }

  @Test
  void peerThatTheListLacksCountsAndListedLeavingPeerIsNoCandidate() {
    Peer p = peer("p", 1);
    set.vmList(List.of());
    set.peerUp(p, 0);
    assertTrue(set.view(1, 1, 0).candidates(DOMAIN).contains(p.node()));
    set.vmList(List.of(new EntryVm("p", DOMAIN, p.address(), true)));
    assertFalse(set.view(1, 1, 0).candidates(DOMAIN).contains(p.node()));
    assertTrue(liveAt(0).contains(p.node()));
  }

  @Test
  void pausedProcessDoesNotTakeItsOwnAbsenceForItsPeersSilence() {
    Peer p = peer("p", 1);
    set.peerUp(p, 0);
    set.paused(9_000 * MILLI);
    assertTrue(liveAt(9_500).contains(p.node()));
    assertFalse(liveAt(10_501).contains(p.node()));
  }
}
