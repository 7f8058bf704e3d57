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
 * Records the used keys of one issuer, so that each key is executed at most once.
 *
 * <p>A key moves from issued (no entry) to running to completed, and never back. Retries that
 * arrive during the execution wait for its result; later retries get the cached result. A key that
 * completed with {@link Verdict#NOT_RUN} stays completed: an earlier arrival that is still in
 * flight, and that its caller gave up on, must not run after another arrival was told that nothing
 * ran. The caller retries with a new key, which is safe because the verdict remains true.
 *
 * <p>An entry is removed only after its key has expired; from then on the key is refused. Not
 * thread-safe.
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

  /** The state of one used key. */
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
   * @param issuer the issuer of this process
   * @param limits the limits of the table
   */
  public UsedKeyTable(KeyIssuer issuer, KeyLimits limits) {
    this.issuer = issuer;
    this.limits = limits;
  }

  /**
   * Handles an arrival of a request whose key is authentic and was issued by this process.
   *
   * @param request the request
   * @param listener receives the arrival's result exactly once, possibly before this method returns
   * @return true if the caller must execute the request now and pass its result to {@link
   *     #complete}
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
   * Records the result of an execution and passes it to all waiting arrivals; ignores a second
   * result.
   *
   * @param key the executed request's key
   * @param result the response or the problem
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

  /** Removes the entries of expired keys; called several times a second. */
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

  /** Permanently refuses to start executions; unused keys are then refused as not run. */
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
   * Returns the number of entries.
   *
   * @return a count
   */
  public int size() {
    return entriesBySequence.size();
  }

  /**
   * Returns the total size of the cached response bodies.
   *
   * @return a size in bytes
   */
  public long cachedBytes() {
    return cachedBytes;
  }
}
