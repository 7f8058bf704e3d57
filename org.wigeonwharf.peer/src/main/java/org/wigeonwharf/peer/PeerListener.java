package org.wigeonwharf.peer;

/** A PeerListener hears of peers becoming reachable and unreachable over open connections. */
public interface PeerListener {
  /**
   * The first authenticated connection to a peer has opened.
   *
   * @param peer the peer
   */
  void peerUp(Peer peer);

  /**
   * The last connection to a peer has closed.
   *
   * @param peer the peer
   */
  void peerDown(Peer peer);
}
