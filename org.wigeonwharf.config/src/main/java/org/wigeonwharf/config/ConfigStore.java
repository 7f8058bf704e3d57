package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A ConfigStore holds the configuration in force in this process.
 *
 * <p>It adopts only complete, valid snapshots of a higher revision than any it has held, so that an
 * accepted configuration never reverts, whatever order snapshots arrive in.
 */
public final class ConfigStore {
  /** What became of an offered snapshot. */
  public enum OfferResult {
    /** It is now in force. */
    ADOPTED,
    /** It is not newer than the one in force. */
    STALE,
    /** It has the revision in force but other content: an alarm. */
    CONFLICT,
    /** It has faults: the last accepted one stays in force. */
    INVALID
  }

  /**
   * A Rejection is a publish that was refused whole.
   *
   * @param revision the refused revision
   * @param faults why
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
   * @return never null; {@link Snapshot#NONE} before the first one
   */
  public Snapshot current() {
    return current;
  }

  /**
   * Returns the newest refused publish that is newer than the snapshot in force.
   *
   * @return the rejection, or null
   */
  public @Nullable Rejection rejection() {
    Rejection r = rejection;
    return r != null && r.revision() > current.revision() ? r : null;
  }

  /**
   * Returns how often the revision in force was met with other content.
   *
   * @return a count since the process started; the same other content counts once in a row
   */
  public synchronized long conflicts() {
    return conflicts;
  }

  /**
   * Registers a listener that hears of every adopted snapshot, in order.
   *
   * @param listener called on the offering thread; must not block
   */
  public void addListener(Consumer<Snapshot> listener) {
    listeners.add(listener);
  }

  /**
   * Offers a publish.
   *
   * @param revision the platform's revision, above 0
   * @param files all published files, in merge order
   * @return what became of it
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
   * Notes that a revision has other content elsewhere.
   *
   * @param revision the revision
   * @param digest the other content's digest
   * @return true if the revision is in force here and this content was not the last one noted
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
