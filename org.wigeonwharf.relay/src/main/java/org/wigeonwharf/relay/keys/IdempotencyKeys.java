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
public final class IdempotencyKeys {
  private final KeyIssuer issuer;
  private final KeyLimits limits;
  private final Map<Long, Use> uses = new HashMap<>();
  private final Map<AccountId, Integer> usesByAccount = new HashMap<>();
  private final PriorityQueue<Use> byAge =
      new PriorityQueue<>(Comparator.comparingLong(u -> u.key.issuedMillis()));
  private int running;
  private long keptBytes;
  private boolean stopped;

  /** What is known of one used key. */
  private static final class Use {
    final IdempotencyKey key;
    final AccountId account;
    final ByteString digest;
    final List<EndListener> waiters = new ArrayList<>();
    @Nullable Either<Problem, KeyedAnswer> end;
    boolean expired;

    Use(IdempotencyKey key, AccountId account, ByteString digest) {
      this.key = key;
      this.account = account;
      this.digest = digest;
    }

    int keptBytes() {
      return end == null || end.isLeft() ? 0 : end.get().body().size();
    }
  }

  /**
   * Creates an empty table.
   *
   * @param issuer the own process's issuer
   * @param limits bounds of the table
   */
  public IdempotencyKeys(KeyIssuer issuer, KeyLimits limits) {
    this.issuer = issuer;
    this.limits = limits;
  }

  /**
   * Takes an arrival of a request whose key is authentic and the own process's.
   *
   * @param request the request
   * @param listener hears the arrival's end exactly once, perhaps before this returns
   * @return true if the request is to be executed now and its end told to {@link #ended}
   */
  public boolean arrived(KeyedRequest request, EndListener listener) {
    Use use = uses.get(request.key().sequence());
    if (use != null) {
      retry(use, request, listener);
      return false;
    }
    Problem refusal = refusalOfFirst(request);
    if (refusal != null) {
      listener.ended(Either.left(refusal));
      return false;
    }
    use = new Use(request.key(), request.account(), request.digest());
    use.waiters.add(listener);
    uses.put(request.key().sequence(), use);
    usesByAccount.merge(request.account(), 1, Integer::sum);
    byAge.add(use);
    running++;
    return true;
  }

  private void retry(Use use, KeyedRequest request, EndListener listener) {
    if (!use.digest.equals(request.digest())) {
      listener.ended(Either.left(KeyProblems.otherRequest()));
    } else if (use.end != null) {
      listener.ended(use.end);
    } else if (use.waiters.size() >= limits.maxWaiters()) {
      listener.ended(Either.left(KeyProblems.tooManyWaiters()));
    } else {
      use.waiters.add(listener);
    }
  }

  private @Nullable Problem refusalOfFirst(KeyedRequest request) {
    if (issuer.ageMillis(request.key()) >= limits.lifetimeMillis()) {
      return KeyProblems.expired();
    }
    if (stopped) {
      return KeyProblems.stopping();
    }
    boolean full =
        uses.size() >= limits.maxRecords()
            || usesByAccount.getOrDefault(request.account(), 0) >= limits.maxRecordsPerAccount();
    return full ? KeyProblems.tableFull() : null;
  }

  /**
   * Takes the end of an execution and tells it to all who wait; a second end is ignored.
   *
   * @param key the executed request's key
   * @param end the answer or the problem
   */
  public void ended(IdempotencyKey key, Either<Problem, KeyedAnswer> end) {
    Use use = uses.get(key.sequence());
    if (use == null || use.end != null) {
      return;
    }
    running--;
    use.end = keepable(end);
    keptBytes += use.keptBytes();
    List<EndListener> waiters = List.copyOf(use.waiters);
    use.waiters.clear();
    if (use.expired) {
      drop(use);
    }
    waiters.forEach(w -> w.ended(end));
  }

  private Either<Problem, KeyedAnswer> keepable(Either<Problem, KeyedAnswer> end) {
    if (end.isLeft()) {
      return end;
    }
    int bytes = end.get().body().size();
    boolean fits =
        bytes <= limits.maxAnswerBytes() && keptBytes + bytes <= limits.maxTotalAnswerBytes();
    return fits ? end : Either.left(KeyProblems.answerNotKept());
  }

  /** Drops the records of expired keys; called about once a second. */
  public void tick() {
    while (!byAge.isEmpty() && issuer.ageMillis(byAge.peek().key) >= limits.lifetimeMillis()) {
      Use use = byAge.remove();
      use.expired = true;
      if (use.end != null) {
        drop(use);
      }
    }
  }

  private void drop(Use use) {
    uses.remove(use.key.sequence());
    keptBytes -= use.keptBytes();
    usesByAccount.computeIfPresent(use.account, (a, n) -> n > 1 ? n - 1 : null);
  }

  /** Starts no execution any more, for good, so that unused keys are refused as not run. */
  public void stopExecuting() {
    stopped = true;
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
    return uses.size();
  }

  /**
   * Returns the memory taken by kept answers.
   *
   * @return bytes of bodies
   */
  public long keptBytes() {
    return keptBytes;
  }
}
