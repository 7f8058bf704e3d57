package org.wigeonwharf.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.RequestId;

/**
 * A WaitQueue holds a shard's waiters by class and client account.
 *
 * <p>Adding, finding and removing cost no more than the logarithm of the number of waiters. Not
 * thread-safe.
 */
final class WaitQueue {
  private final Map<RequestId, Waiter> byId = new HashMap<>();
  private final TreeSet<Waiter> byDeadline = new TreeSet<>(Waiter.BY_DEADLINE);
  private final Map<ClassId, TreeSet<Waiter>> byClass = new HashMap<>();
  private final TreeMap<Integer, Map<LaneKey, Lane>> tiers = new TreeMap<>();
  private final Map<AccountId, Integer> byAccount = new HashMap<>();
  private final TreeMap<Integer, Long> costMillis = new TreeMap<>();

  private record LaneKey(ClassId serviceClass, AccountId account) implements Comparable<LaneKey> {
    @Override
    public int compareTo(LaneKey other) {
      int c = serviceClass.compareTo(other.serviceClass);
      return c != 0 ? c : account.compareTo(other.account);
    }
  }

  void add(Waiter w) {
    byId.put(w.request().id(), w);
    byDeadline.add(w);
    byAccount.merge(w.request().account(), 1, Integer::sum);
    ClassSpec spec = w.spec();
    AccountId account = w.request().account();
    byClass.computeIfAbsent(spec.id(), c -> new TreeSet<>(Waiter.BY_ARRIVAL)).add(w);
    tiers
        .computeIfAbsent(w.rank(), r -> new TreeMap<>())
        .computeIfAbsent(new LaneKey(spec.id(), account), k -> new Lane(spec, account))
        .add(w);
    costMillis.merge(w.rank(), w.costMillis(), Long::sum);
  }

  @Nullable Waiter remove(RequestId id) {
    Waiter w = byId.remove(id);
    if (w == null) {
      return null;
    }
    byDeadline.remove(w);
    byAccount.computeIfPresent(w.request().account(), (a, n) -> n == 1 ? null : n - 1);
    removeFromClass(w);
    removeFromLane(w);
    return w;
  }

  private void removeFromClass(Waiter w) {
    TreeSet<Waiter> waiters = byClass.get(w.spec().id());
    if (waiters != null && waiters.remove(w) && waiters.isEmpty()) {
      byClass.remove(w.spec().id());
    }
  }

  private void removeFromLane(Waiter w) {
    Map<LaneKey, Lane> lanes = tiers.getOrDefault(w.rank(), Map.of());
    LaneKey key = new LaneKey(w.spec().id(), w.request().account());
    Lane lane = lanes.get(key);
    if (lane == null) {
      return;
    }
    lane.remove(w);
    costMillis.merge(w.rank(), -w.costMillis(), Long::sum);
    if (lane.size() == 0) {
      lanes.remove(key);
    }
    if (lanes.isEmpty()) {
      tiers.remove(w.rank());
      costMillis.remove(w.rank());
    }
  }

  boolean contains(RequestId id) {
    return byId.containsKey(id);
  }

  int size() {
    return byId.size();
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  int sizeOf(ClassId serviceClass) {
    TreeSet<Waiter> waiters = byClass.get(serviceClass);
    return waiters == null ? 0 : waiters.size();
  }

  int sizeOf(AccountId account) {
    return byAccount.getOrDefault(account, 0);
  }

  /**
   * Returns the newest waiter of a class.
   *
   * @param serviceClass the class
   * @return the waiter, or null if none waits
   */
  @Nullable Waiter newestOf(ClassId serviceClass) {
    TreeSet<Waiter> waiters = byClass.get(serviceClass);
    return waiters == null ? null : waiters.last();
  }

  /**
   * Returns the oldest waiter of a class.
   *
   * @param serviceClass the class
   * @return the waiter, or null if none waits
   */
  @Nullable Waiter oldestOf(ClassId serviceClass) {
    TreeSet<Waiter> waiters = byClass.get(serviceClass);
    return waiters == null ? null : waiters.first();
  }

  /**
   * Returns the classes that have waiters.
   *
   * @return a live view
   */
  Collection<ClassId> classes() {
    return byClass.keySet();
  }

  /**
   * Returns the lanes with waiters, by the rank of their tier.
   *
   * @return highest tier first
   */
  List<Collection<Lane>> lanesByTier() {
    List<Collection<Lane>> result = new ArrayList<>(tiers.size());
    tiers.values().forEach(lanes -> result.add(lanes.values()));
    return result;
  }

  /**
   * Returns the expected slot time of all waiters of a tier and the tiers above it.
   *
   * @param rank the tier's rank
   * @return slot time in milliseconds
   */
  long costMillisUpTo(int rank) {
    long sum = 0;
    for (long cost : costMillis.headMap(rank, true).values()) {
      sum += cost;
    }
    return sum;
  }

  /**
   * Returns the waiters past their deadline.
   *
   * @param nowNanos the time
   * @return earliest deadline first
   */
  List<Waiter> overdue(long nowNanos) {
    List<Waiter> result = new ArrayList<>();
    for (Waiter w : byDeadline) {
      if (nowNanos - w.deadlineNanos() < 0) {
        break;
      }
      result.add(w);
    }
    return result;
  }

  /**
   * Returns all waiters.
   *
   * @return a copy, in order of arrival
   */
  List<Waiter> all() {
    List<Waiter> result = new ArrayList<>(byId.values());
    result.sort(Waiter.BY_ARRIVAL);
    return result;
  }

  SortedMap<Integer, Integer> sizeByRank() {
    TreeMap<Integer, Integer> result = new TreeMap<>();
    tiers.forEach(
        (rank, lanes) -> result.put(rank, lanes.values().stream().mapToInt(Lane::size).sum()));
    return result;
  }
}
