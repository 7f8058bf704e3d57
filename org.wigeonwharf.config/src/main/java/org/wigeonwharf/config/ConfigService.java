package org.wigeonwharf.config;

import java.util.Random;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.internal.Adopter;
import org.wigeonwharf.config.internal.PlatformReader;
import org.wigeonwharf.config.internal.ReadPolicy;
import org.wigeonwharf.config.internal.SettlingPolicy;
import org.wigeonwharf.config.internal.SnapshotDistribution;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.PeerTransport;

/**
 * Keeps the {@link ConfigStore} at the highest revision that any reachable process holds.
 *
 * <p>Two routers of each failure domain, its readers, watch the platform's configuration service.
 * All other routers get snapshots from peers, and read the platform themselves while no router
 * ranked before them reports recent contact with it.
 */
public final class ConfigService implements Lifecycle {
  private final FailureDomain domain;
  private final ConfigStore store;
  private final PlatformContact contact;
  private final Supplier<MembershipView> view;
  private final Clock clock;
  private final Random random;
  private final Adopter adopter;
  private final PlatformReader reader;
  private final SnapshotDistribution snapshotDistribution;
  private @Nullable ReadPolicy readPolicy;
  private volatile @Nullable SettlingPolicy settling;

  /**
   * Creates a service and registers it with the transport; it does no work until started.
   *
   * @param domain the failure domain of this process
   * @param store receives every snapshot read or pulled
   * @param source reads the platform's configuration service
   * @param contact records each answer of the platform
   * @param transport connections to peers
   * @param view supplies the live routers; called only after this service has started
   * @param clock the process's clock
   * @param random draws jitter and breaks ties
   */
  public ConfigService(
      FailureDomain domain,
      ConfigStore store,
      ConfigSource source,
      PlatformContact contact,
      PeerTransport transport,
      Supplier<MembershipView> view,
      Clock clock,
      Random random) {
    this.domain = domain;
    this.store = store;
    this.contact = contact;
    this.view = view;
    this.clock = clock;
    this.random = random;
    this.adopter = new Adopter(store);
    this.reader =
        new PlatformReader(
            source, store, contact, this::shouldRead, this::onPublication, clock, random);
    this.snapshotDistribution =
        new SnapshotDistribution(domain, transport, view, store, adopter, clock, random);
  }

  /** Starts reading and distributing snapshots; membership must be started before. */
  @Override
  public void start() {
    readPolicy = new ReadPolicy(domain, random, clock.nanos());
    settling = new SettlingPolicy(clock.nanos());
    snapshotDistribution.start();
    reader.start();
  }

  @Override
  public void stop() {
    reader.stop();
    snapshotDistribution.stop();
  }

  /**
   * Handles the revision that a peer reports; a revision above the own one is pulled.
   *
   * @param peer the sender
   * @param revision the revision in force at the peer
   */
  public void onPeerRevision(NodeId peer, long revision) {
    snapshotDistribution.onPeerRevision(peer, revision);
  }

  /**
   * Returns whether this process holds the highest revision of its peers or has waited long enough.
   *
   * @return true once either applies; always false while no configuration is in force
   */
  public boolean isSettled() {
    SettlingPolicy s = settling;
    return s != null && s.isSettled(view.get(), store.current().revision(), clock.nanos());
  }

  /**
   * Returns whether this process currently watches the configuration service.
   *
   * @return true if it watches
   */
  public boolean isReading() {
    return reader.isReading();
  }

  /**
   * Returns the time since the platform last answered this process.
   *
   * @return milliseconds, or -1 if it never did
   */
  public long platformContactAgeMillis() {
    return contact.ageMillis();
  }

  private boolean shouldRead() {
    ReadPolicy p = readPolicy;
    return p != null && p.shouldRead(view.get(), clock.nanos());
  }

  private void onPublication(ConfigSource.Publication publication) {
    Snapshot before = store.current();
    ConfigStore.OfferResult result =
        adopter.offer(publication.revision(), publication.files(), "platform");
    Snapshot now = store.current();
    if (result == ConfigStore.OfferResult.ADOPTED && now.revision() == publication.revision()) {
      snapshotDistribution.push(now, before, null);
    }
  }
}
