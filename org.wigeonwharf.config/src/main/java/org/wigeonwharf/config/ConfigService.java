package org.wigeonwharf.config;

import java.util.Random;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.internal.Adopter;
import org.wigeonwharf.config.internal.PlatformReader;
import org.wigeonwharf.config.internal.ReadPolicy;
import org.wigeonwharf.config.internal.Settling;
import org.wigeonwharf.config.internal.SnapshotSpread;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.PeerTransport;

/**
 * A ConfigService keeps the store at the highest revision that any reachable process holds.
 *
 * <p>Two readers of each failure domain watch the platform; everyone else gets snapshots from
 * peers, and reads for itself when no reader is heard to have platform contact.
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
  private final SnapshotSpread snapshotDistribution;
  private @Nullable ReadPolicy readPolicy;
  private volatile @Nullable Settling settling;

  /**
   * Creates a service that registers with the transport at once and works once started.
   *
   * @param domain the own failure domain
   * @param store receives what is read
   * @param source the platform
   * @param contact notes each answer of the platform
   * @param transport connections to peers
   * @param view the live routers; asked only once this service has started
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
        new SnapshotSpread(domain, transport, view, store, adopter, clock, random);
  }

  /** Starts reading and spreading; membership must have started. */
  @Override
  public void start() {
    readPolicy = new ReadPolicy(domain, random, clock.nanos());
    settling = new Settling(clock.nanos());
    snapshotDistribution.start();
    reader.start();
  }

  @Override
  public void stop() {
    reader.stop();
    snapshotDistribution.stop();
  }

  /**
   * Notes the revision that a peer's message carried and pulls it if it is higher than the own.
   *
   * @param peer the sender
   * @param revision the revision in force there
   */
  public void onPeerRevision(NodeId peer, long revision) {
    snapshotDistribution.heard(peer, revision);
  }

  /**
   * Tells whether this process holds what its peers hold, or has waited long enough for them.
   *
   * @return true once it has settled; never before a configuration is in force
   */
  public boolean isSettled() {
    Settling s = settling;
    return s != null && s.isSettled(view.get(), store.current().revision(), clock.nanos());
  }

  /**
   * Tells whether this process watches the configuration service at present.
   *
   * @return true if it does
   */
  public boolean isReading() {
    return reader.isReading();
  }

  /**
   * Returns how long ago the platform last answered this process.
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
