package org.wigeonwharf.config.internal;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.GuaranteeComparison;
import org.wigeonwharf.config.LoweredGuarantee;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;

/** An Adopter offers snapshots to the store and logs what became of each. Thread-safe. */
public final class Adopter {
  private static final Logger LOG = LoggerFactory.getLogger(Adopter.class);

  private final ConfigStore store;
  private long lastLoggedRejection;

  /**
   * Creates an adopter.
   *
   * @param store receives the snapshots
   */
  public Adopter(ConfigStore store) {
    this.store = store;
  }

  /**
   * Offers a snapshot.
   *
   * @param revision its revision
   * @param files all its files, in merge order
   * @param origin the platform or the peer it came from, for the log
   * @return what became of it
   */
  public synchronized ConfigStore.OfferResult offer(
      long revision, List<SettingsFile> files, String origin) {
    Snapshot before = store.current();
    ConfigStore.OfferResult result = store.offer(revision, files);
    switch (result) {
      case ADOPTED -> logAdoption(before, store.current(), origin);
      case INVALID -> logRejection(revision, origin);
      case CONFLICT -> onConflict(revision, Snapshot.digest(files), origin);
      default ->
          LOG.atDebug()
              .addKeyValue("event", "config.stale")
              .addKeyValue("revision", revision)
              .addKeyValue("origin", origin)
              .log("snapshot is not newer");
    }
    return result;
  }

  /**
   * Raises an alarm if a revision in force here has other content elsewhere; once for each content.
   *
   * @param revision the revision
   * @param digest the other content's digest
   * @param origin where the other content is
   */
  public void onConflict(long revision, String digest, String origin) {
    if (store.recordConflict(revision, digest)) {
      LOG.atError()
          .addKeyValue("event", "config.conflict")
          .addKeyValue("revision", revision)
          .addKeyValue("digest", store.current().digest())
          .addKeyValue("other_digest", digest)
          .addKeyValue("origin", origin)
          .log("one revision has two contents");
    }
  }

  private static void logAdoption(Snapshot before, Snapshot adopted, String origin) {
    LOG.atInfo()
        .addKeyValue("event", "config.adopted")
        .addKeyValue("revision", adopted.revision())
        .addKeyValue("origin", origin)
        .log("configuration in force");
    for (LoweredGuarantee g : GuaranteeComparison.lowered(before.config(), adopted.config())) {
      LOG.atWarn()
          .addKeyValue("event", "limit.lowered")
          .addKeyValue("revision", adopted.revision())
          .addKeyValue("key", g.key())
          .addKeyValue("before", g.before())
          .addKeyValue("after", g.after())
          .log("a promise falls back");
    }
  }

  private void logRejection(long revision, String origin) {
    ConfigStore.Rejection r = store.rejection();
    if (r == null || revision <= lastLoggedRejection) {
      return;
    }
    lastLoggedRejection = revision;
    LOG.atError()
        .addKeyValue("event", "config.refused")
        .addKeyValue("revision", revision)
        .addKeyValue("origin", origin)
        .addKeyValue("faults", r.faults().size())
        .log("publish refused whole");
    for (Fault f : r.faults()) {
      LOG.atError()
          .addKeyValue("event", "config.fault")
          .addKeyValue("revision", revision)
          .addKeyValue("fault", f.toString())
          .log("publish has a fault");
    }
  }
}
