package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration in force in this process.
 *
 * <p>Only complete and valid snapshots with a higher revision than the one in force are adopted, so
 * that the configuration never reverts, whatever order snapshots arrive in.
 */
public final class ConfigStore {
  /** Result of offering a snapshot. */
  public enum OfferResult {
    /** The snapshot is now in force. */
    ADOPTED,
    /** The snapshot is not newer than the one in force. */
    STALE,
    /** The snapshot has the revision in force but other content, which must raise an alarm. */
    CONFLICT,
    /** The snapshot has faults; the previous one stays in force. */
    INVALID
  }

  /**
   * A publication that was rejected as a whole.
   *
   * @param revision the rejected revision
   * @param faults the faults found
   */
  public record Rejection(long revision, List<Fault> faults) {}

  private final List<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
  private volatile Snapshot current = Snapshot.NONE;
  private volatile @Nullable Rejection rejection;
  private long conflicts;
  private String lastConflictDigest = "";

  /**
   * Returns the snapshot in force.
   *
   * @return the snapshot; {@link Snapshot#NONE} before the first is adopted
   */
  public Snapshot current() {
    return current;
  }

  /**
   * Returns the newest rejected publication, if it is newer than the snapshot in force.
   *
   * @return the rejection, or null if there is none
   */
  public @Nullable Rejection rejection() {
    Rejection r = rejection;
    return r != null && r.revision() > current.revision() ? r : null;
  }

  /**
   * Returns how often other content was found under the revision in force.
   *
   * @return the count since the process started; consecutive reports of the same content count once
   */
  public synchronized long conflicts() {
    return conflicts;
  }

  /**
   * Registers a listener for adopted snapshots, which it receives in order of adoption.
   *
   * @param listener called on the offering thread; must not block
   */
  public void addListener(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /**
   * Adopts a publication if it is newer than the snapshot in force and valid.
   *
   * @param revision the platform's revision, above 0
   * @param files all published files, in merge order
   * @return the result
   */
  public synchronized OfferResult offer(long revision, List<SettingsFile> files) {
    Snapshot held = current;
    if (revision < held.revision() || revision <= 0) {
      return OfferResult.STALE;
    }
    if (revision == held.revision()) {
      return compareSameRevision(held, files);
    }
    Either<List<Fault>, PublishedConfig> parsed = ConfigParser.parse(files);
    if (parsed.isLeft()) {
      recordRejection(new Rejection(revision, parsed.getLeft()));
      return OfferResult.INVALID;
    }
    Snapshot next = new Snapshot(revision, List.copyOf(files), parsed.get());
    current = next;
    listeners.forEach(l -> l.accept(next));
    return OfferResult.ADOPTED;
  }

  private void recordRejection(Rejection next) {
    Rejection r = rejection;
    if (r == null || next.revision() > r.revision()) {
      rejection = next;
    }
  }

  private static OfferResult compareSameRevision(Snapshot held, List<SettingsFile> files) {
    return Snapshot.digest(files).equals(held.digest()) ? OfferResult.STALE : OfferResult.CONFLICT;
  }

  /**
   * Records that another process or the platform has other content under a revision.
   *
   * @param revision the revision
   * @param digest the other content's digest
   * @return true if the revision is in force here and the digest differs from the last one recorded
   */
  public synchronized boolean recordConflict(long revision, String digest) {
    if (revision != current.revision() || digest.equals(lastConflictDigest)) {
      return false;
    }
    lastConflictDigest = digest;
    conflicts++;
    return true;
  }
}
