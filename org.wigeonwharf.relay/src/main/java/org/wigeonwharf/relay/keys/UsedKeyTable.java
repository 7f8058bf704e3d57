package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;

/**
 * IdempotencyKeys is the issuer's table of used keys: a key is executed at most once.
 *
 * <p>A key goes from issued (no record) to running to ended, and never back. Retries that arrive
 * while it runs wait for the one end; later ones get a copy of it. A key that ended {@link
 * Verdict#NOT_RUN} stays ended: an arrival of it that is still under way, and that its caller gave
 * up on, must not run after another arrival was told that nothing ran. The caller goes on with a
 * fresh key, which is safe because the word was true.
 *
 * <p>A record is only dropped once its key has expired, from when on the key is refused. Not safe
 * for use by several threads.
 */
public final class UsedKeyTable {
  private final KeyIssuer issuer;
  private final KeyLimits limits;
  private final Map<Long, Entry> entriesBySequence = new HashMap<>();
  private final Map<AccountId, Integer> entryCountsByAccount = new HashMap<>();
  private final PriorityQueue<Entry> entriesByAge =
      new PriorityQueue<>(Comparator.comparingLong(u -> u.key.issuedMillis()));
  private int running;
  private long cachedBytes;
  private boolean draining;

  /** What is known of one used key. */
  private static final class Entry {
    final IdempotencyKey key;
    final AccountId account;
    final ByteString digest;
    final List<CompletionListener> waiters = new ArrayList<>();
    @Nullable Either<Problem, KeyedResponse> result;
    boolean expired;

    Entry(IdempotencyKey key, AccountId account, ByteString digest) {
      this.key = key;
      this.account = account;
      this.digest = digest;
    }

    int cachedBytes() {
      return result == null || result.isLeft() ? 0 : result.get().body().size();
    }
  }

  /**
   * Creates an empty table.
   *
   * @param issuer the own process's issuer
   * @param limits bounds of the table
   */
  public UsedKeyTable(KeyIssuer issuer, KeyLimits limits) {
    this.issuer = issuer;
    this.limits = limits;
  }

  /**
   * Takes an arrival of a request whose key is authentic and the own process's.
   *
   * @param request the request
   * @param listener hears the arrival's end exactly once, perhaps before this returns
   * @return true if the request is to be executed now and its end told to {@link #complete}
   */
  public boolean tryBegin(KeyedRequest request, CompletionListener listener) {
    Entry entry = entriesBySequence.get(request.key().sequence());
    if (entry != null) {
      handleRetry(entry, request, listener);
      return false;
    }
    Problem problem = checkFirstUse(request);
    if (problem != null) {
      listener.completed(Either.left(problem));
      return false;
    }
    entry = new Entry(request.key(), request.account(), request.digest());
    entry.waiters.add(listener);
    entriesBySequence.put(request.key().sequence(), entry);
    entryCountsByAccount.merge(request.account(), 1, Integer::sum);
    entriesByAge.add(entry);
    running++;
    return true;
  }

  private void handleRetry(Entry entry, KeyedRequest request, CompletionListener listener) {
    if (!entry.digest.equals(request.digest())) {
      listener.completed(Either.left(KeyProblems.reused()));
    } else if (entry.result != null) {
      listener.completed(entry.result);
    } else if (entry.waiters.size() >= limits.maxWaiters()) {
      listener.completed(Either.left(KeyProblems.tooManyWaiters()));
    } else {
      entry.waiters.add(listener);
    }
  }

  private @Nullable Problem checkFirstUse(KeyedRequest request) {
    if (issuer.ageMillis(request.key()) >= limits.lifetimeMillis()) {
      return KeyProblems.expired();
    }
    if (draining) {
      return KeyProblems.stopping();
    }
    boolean full =
        entriesBySequence.size() >= limits.maxEntries()
            || entryCountsByAccount.getOrDefault(request.account(), 0)
                >= limits.maxEntriesPerAccount();
    return full ? KeyProblems.tableFull() : null;
  }

  /**
   * Takes the end of an execution and tells it to all who wait; a second end is ignored.
   *
   * @param key the executed request's key
   * @param result the answer or the problem
   */
  public void complete(IdempotencyKey key, Either<Problem, KeyedResponse> result) {
    Entry entry = entriesBySequence.get(key.sequence());
    if (entry == null || entry.result != null) {
      return;
    }
    running--;
    entry.result = toCacheable(result);
    cachedBytes += entry.cachedBytes();
    List<CompletionListener> waiters = List.copyOf(entry.waiters);
    entry.waiters.clear();
    if (entry.expired) {
      remove(entry);
    }
    waiters.forEach(w -> w.completed(result));
  }

  private Either<Problem, KeyedResponse> toCacheable(Either<Problem, KeyedResponse> result) {
    if (result.isLeft()) {
      return result;
    }
    int bytes = result.get().body().size();
    boolean fits =
        bytes <= limits.maxCachedBodyBytes() && cachedBytes + bytes <= limits.maxTotalCachedBytes();
    return fits ? result : Either.left(KeyProblems.responseNotCached());
  }

  /** Drops the records of expired keys; called about once a second. */
  public void tick() {
    while (!entriesByAge.isEmpty()
        && issuer.ageMillis(entriesByAge.peek().key) >= limits.lifetimeMillis()) {
      Entry entry = entriesByAge.remove();
      entry.expired = true;
      if (entry.result != null) {
        remove(entry);
      }
    }
  }

  private void remove(Entry entry) {
    entriesBySequence.remove(entry.key.sequence());
    cachedBytes -= entry.cachedBytes();
    entryCountsByAccount.computeIfPresent(entry.account, (a, n) -> n > 1 ? n - 1 : null);
  }

  /** Starts no execution any more, for good, so that unused keys are refused as not run. */
  public void refuseNewExecutions() {
    draining = true;
  }

  /**
   * Returns the number of executions that have not ended.
   *
   * @return a count
   */
  public int running() {
    return running;
  }

  /**
   * Returns the number of used keys that are remembered.
   *
   * @return a count
   */
  public int size() {
    return entriesBySequence.size();
  }

  /**
   * Returns the memory taken by kept answers.
   *
   * @return bytes of bodies
   */
  public long cachedBytes() {
    return cachedBytes;
  }
}
