package org.wigeonwharf.peer;

/** Receives a notification when a peer connects or disconnects. */
public interface PeerListener {
  /**
   * Called when the first authenticated connection to a peer has opened.
   *
   * @param peer the peer
   */
  void peerUp(Peer peer);

  /**
   * Called when the last connection to a peer has closed.
   *
   * @param peer the peer
   */
  void peerDown(Peer peer);
}
