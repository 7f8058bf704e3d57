package org.wigeonwharf.config.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.config.wire.ConfigMessage;
import org.wigeonwharf.config.wire.FileDigest;
import org.wigeonwharf.config.wire.RevisionNotice;
import org.wigeonwharf.config.wire.SnapshotMessage;
import org.wigeonwharf.config.wire.SnapshotRequest;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;

/**
 * Implements the protocol by which routers exchange snapshots, independent of transport and
 * threads.
 *
 * <p>Snapshots are pushed on adoption and pulled from peers that report a higher revision. The
 * class performs no I/O and reads only the injected clock. Not thread-safe.
 */
public final class SnapshotExchange {
  private final Supplier<MembershipView> view;
  private final ConfigStore store;
  private final Adopter adopter;
  private final Sender sender;
  private final Clock clock;
  private final Random random;
  private final PullPolicy pullPolicy;
  private final PushPolicy pushPolicy;

  /** Sends messages to peers. */
  @FunctionalInterface
  public interface Sender {
    /**
     * Sends a message.
     *
     * @param to the receiver
     * @param message the message
     * @return false if the peer can't be reached at present
     */
    boolean send(NodeId to, ConfigMessage message);
  }

  /**
   * Creates an exchange that knows no peers.
   *
   * @param domain the own failure domain
   * @param view the live routers
   * @param store holds the snapshot in force
   * @param adopter receives the snapshots of peers
   * @param sender sends the messages
   * @param clock the process's clock
   * @param random draws jitter and breaks ties
   */
  public SnapshotExchange(
      FailureDomain domain,
      Supplier<MembershipView> view,
      ConfigStore store,
      Adopter adopter,
      Sender sender,
      Clock clock,
      Random random) {
    this.view = view;
    this.store = store;
    this.adopter = adopter;
    this.sender = sender;
    this.clock = clock;
    this.random = random;
    this.pullPolicy = new PullPolicy(domain, random);
    this.pushPolicy = new PushPolicy(domain);
  }

  /**
   * Handles the revision that a peer reports and requests it at once if it is higher.
   *
   * @param peer the peer
   * @param revision the revision in force at the peer
   */
  public void onPeerRevision(NodeId peer, long revision) {
    pullPolicy.onPeerRevision(peer, revision);
    requestSnapshot();
  }

  /** Records the revisions reported by heartbeat and requests a higher one; called periodically. */
  public void tick() {
    pullPolicy.updateMembers(view.get());
    requestSnapshot();
  }

  private void requestSnapshot() {
    Snapshot held = store.current();
    Optional<NodeId> peer = pullPolicy.nextPeer(held.revision(), clock.nanos());
    if (peer.isEmpty()) {
      return;
    }
    SnapshotRequest request = SnapshotCodec.newRequest(held);
    if (!sender.send(peer.get(), ConfigMessage.newBuilder().setRequest(request).build())) {
      pullPolicy.recordFailure(peer.get(), clock.nanos());
    }
  }

  /**
   * Sends the revision and digest in force here to one random peer; called periodically.
   *
   * @param peers the peers with a connection
   */
  public void sendNotice(Collection<Peer> peers) {
    Snapshot held = store.current();
    if (peers.isEmpty() || held.revision() == 0) {
      return;
    }
    RevisionNotice notice =
        RevisionNotice.newBuilder().setRevision(held.revision()).setDigest(held.digest()).build();
    Peer peer = new ArrayList<>(peers).get(random.nextInt(peers.size()));
    sender.send(peer.node(), ConfigMessage.newBuilder().setNotice(notice).build());
  }

  /**
   * Sends a newly adopted snapshot to the peers that {@link PushPolicy} chooses.
   *
   * @param adopted the newly adopted snapshot
   * @param before the snapshot in force before; unchanged files are omitted for peers that report a
   *     configuration
   * @param origin the failure domain of the peer that sent it, or null for the platform
   */
  public void push(Snapshot adopted, Snapshot before, @Nullable FailureDomain origin) {
    List<Member> targets = pushPolicy.targets(view.get(), adopted.revision(), origin);
    List<FileDigest> held = SnapshotCodec.digests(before.files());
    for (Member m : targets) {
      SnapshotMessage message =
          SnapshotCodec.encode(adopted, m.configRevision() == 0 ? List.of() : held);
      sender.send(m.peer().node(), ConfigMessage.newBuilder().setSnapshot(message).build());
    }
  }

  /**
   * Handles a peer's message; one of an unknown kind is ignored.
   *
   * @param from the sender
   * @param message the message
   */
  public void onMessage(Peer from, ConfigMessage message) {
    switch (message.getKindCase()) {
      case REQUEST -> onRequest(from, message.getRequest());
      case SNAPSHOT -> onSnapshot(from, message.getSnapshot());
      case NOTICE -> onNotice(from, message.getNotice());
      default -> {
        // Peers of a newer version may send kinds that are unknown here.
      }
    }
  }

  private void onRequest(Peer from, SnapshotRequest request) {
    Snapshot held = store.current();
    if (held.revision() > request.getHeldRevision()) {
      SnapshotMessage message = SnapshotCodec.encode(held, request.getHeldFilesList());
      sender.send(from.node(), ConfigMessage.newBuilder().setSnapshot(message).build());
    }
  }

  private void onSnapshot(Peer from, SnapshotMessage message) {
    Snapshot before = store.current();
    Optional<List<SettingsFile>> files = SnapshotCodec.assemble(message, before.files());
    if (files.isEmpty()) {
      onPeerRevision(from.node(), message.getRevision());
      return;
    }
    ConfigStore.OfferResult result =
        adopter.offer(message.getRevision(), files.get(), from.node().toString());
    if (result == ConfigStore.OfferResult.INVALID) {
      pullPolicy.recordFailure(from.node(), clock.nanos());
      return;
    }
    pullPolicy.recordSuccess(from.node());
    Snapshot now = store.current();
    if (result == ConfigStore.OfferResult.ADOPTED && now.revision() == message.getRevision()) {
      push(now, before, from.domain());
    }
  }

  private void onNotice(Peer from, RevisionNotice notice) {
    Snapshot held = store.current();
    if (notice.getRevision() > held.revision()) {
      onPeerRevision(from.node(), notice.getRevision());
    } else if (notice.getRevision() == held.revision()
        && !notice.getDigest().equals(held.digest())) {
      adopter.onConflict(notice.getRevision(), notice.getDigest(), from.node().toString());
    }
  }
}
