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

/** Offers snapshots to the {@link ConfigStore} and logs the results. Thread-safe. */
public final class Adopter {
  private static final Logger LOG = LoggerFactory.getLogger(Adopter.class);

  private final ConfigStore store;
  private long loggedRejectionRevision;

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
   * @param revision the snapshot's revision
   * @param files all files of the snapshot, in merge order
   * @param origin the platform or the peer that sent it, for the log
   * @return the store's result
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
              .log("snapshot ignored: not newer than the one in force");
    }
    return result;
  }

  /**
   * Handles a report that a revision has other content elsewhere.
   *
   * <p>If the revision is in force here, an error is logged, once for consecutive reports of the
   * same content.
   *
   * @param revision the revision
   * @param digest the other content's digest
   * @param origin the platform or the peer that has the other content, for the log
   */
  public void onConflict(long revision, String digest, String origin) {
    if (store.recordConflict(revision, digest)) {
      LOG.atError()
          .addKeyValue("event", "config.conflict")
          .addKeyValue("revision", revision)
          .addKeyValue("digest", store.current().digest())
          .addKeyValue("other_digest", digest)
          .addKeyValue("origin", origin)
          .log("revision in force here has other content elsewhere");
    }
  }

  private static void logAdoption(Snapshot before, Snapshot adopted, String origin) {
    LOG.atInfo()
        .addKeyValue("event", "config.adopted")
        .addKeyValue("revision", adopted.revision())
        .addKeyValue("origin", origin)
        .log("adopted configuration");
    for (LoweredGuarantee g : GuaranteeComparison.lowered(before.config(), adopted.config())) {
      LOG.atWarn()
          .addKeyValue("event", "limit.lowered")
          .addKeyValue("revision", adopted.revision())
          .addKeyValue("key", g.key())
          .addKeyValue("before", g.before())
          .addKeyValue("after", g.after())
          .log("configuration lowers or removes a guarantee");
    }
  }

  private void logRejection(long revision, String origin) {
    ConfigStore.Rejection r = store.rejection();
    if (r == null || revision <= loggedRejectionRevision) {
      return;
    }
    loggedRejectionRevision = revision;
    LOG.atError()
        .addKeyValue("event", "config.refused")
        .addKeyValue("revision", revision)
        .addKeyValue("origin", origin)
        .addKeyValue("faults", r.faults().size())
        .log("rejected publication; previous configuration stays in force");
    for (Fault f : r.faults()) {
      LOG.atError()
          .addKeyValue("event", "config.fault")
          .addKeyValue("revision", revision)
          .addKeyValue("fault", f.toString())
          .log("rejected publication has a fault");
    }
  }
}
