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
 * Holds the waiting requests of a shard in one flow queue per class and client account.
 *
 * <p>Adding, finding and removing a request takes logarithmic time in the number of requests. Not
 * thread-safe.
 */
final class WaitQueue {
  private final Map<RequestId, WaitingRequest> byId = new HashMap<>();
  private final TreeSet<WaitingRequest> byDeadline = new TreeSet<>(WaitingRequest.BY_DEADLINE);
  private final Map<ClassId, TreeSet<WaitingRequest>> byClass = new HashMap<>();
  private final TreeMap<Integer, Map<FlowKey, FlowQueue>> flowsByRank = new TreeMap<>();
  private final Map<AccountId, Integer> countByAccount = new HashMap<>();
  private final TreeMap<Integer, Long> costMillisByRank = new TreeMap<>();

  private record FlowKey(ClassId serviceClass, AccountId account) implements Comparable<FlowKey> {
    @Override
    public int compareTo(FlowKey other) {
      int c = serviceClass.compareTo(other.serviceClass);
      return c != 0 ? c : account.compareTo(other.account);
    }
  }

  void add(WaitingRequest w) {
    byId.put(w.request().id(), w);
    byDeadline.add(w);
    countByAccount.merge(w.request().account(), 1, Integer::sum);
    ClassSpec spec = w.spec();
    AccountId account = w.request().account();
    byClass.computeIfAbsent(spec.id(), c -> new TreeSet<>(WaitingRequest.BY_ARRIVAL)).add(w);
    flowsByRank
        .computeIfAbsent(w.rank(), r -> new TreeMap<>())
        .computeIfAbsent(new FlowKey(spec.id(), account), k -> new FlowQueue(spec, account))
        .add(w);
    costMillisByRank.merge(w.rank(), w.costMillis(), Long::sum);
  }

  @Nullable WaitingRequest remove(RequestId id) {
    WaitingRequest w = byId.remove(id);
    if (w == null) {
      return null;
    }
    byDeadline.remove(w);
    countByAccount.computeIfPresent(w.request().account(), (a, n) -> n == 1 ? null : n - 1);
    removeFromClass(w);
    removeFromFlow(w);
    return w;
  }

  private void removeFromClass(WaitingRequest w) {
    TreeSet<WaitingRequest> requests = byClass.get(w.spec().id());
    if (requests != null && requests.remove(w) && requests.isEmpty()) {
      byClass.remove(w.spec().id());
    }
  }

  private void removeFromFlow(WaitingRequest w) {
    Map<FlowKey, FlowQueue> flows = flowsByRank.getOrDefault(w.rank(), Map.of());
    FlowKey key = new FlowKey(w.spec().id(), w.request().account());
    FlowQueue flow = flows.get(key);
    if (flow == null) {
      return;
    }
    flow.remove(w);
    costMillisByRank.merge(w.rank(), -w.costMillis(), Long::sum);
    if (flow.size() == 0) {
      flows.remove(key);
    }
    if (flows.isEmpty()) {
      flowsByRank.remove(w.rank());
      costMillisByRank.remove(w.rank());
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
    TreeSet<WaitingRequest> requests = byClass.get(serviceClass);
    return requests == null ? 0 : requests.size();
  }

  int sizeOf(AccountId account) {
    return countByAccount.getOrDefault(account, 0);
  }

  /**
   * Returns the newest request of a class.
   *
   * @param serviceClass the class
   * @return the request, or null if none waits
   */
  @Nullable WaitingRequest newestOf(ClassId serviceClass) {
    TreeSet<WaitingRequest> requests = byClass.get(serviceClass);
    return requests == null ? null : requests.last();
  }

  /**
   * Returns the oldest request of a class.
   *
   * @param serviceClass the class
   * @return the request, or null if none waits
   */
  @Nullable WaitingRequest oldestOf(ClassId serviceClass) {
    TreeSet<WaitingRequest> requests = byClass.get(serviceClass);
    return requests == null ? null : requests.first();
  }

  /**
   * Returns the classes that have waiting requests.
   *
   * @return a live view
   */
  Collection<ClassId> classes() {
    return byClass.keySet();
  }

  /**
   * Returns the non-empty flow queues, grouped by tier.
   *
   * @return highest tier first
   */
  List<Collection<FlowQueue>> flowsByTier() {
    List<Collection<FlowQueue>> result = new ArrayList<>(flowsByRank.size());
    flowsByRank.values().forEach(flows -> result.add(flows.values()));
    return result;
  }

  /**
   * Returns the total expected slot time of the requests of a tier and the tiers above it.
   *
   * @param rank the tier's rank
   * @return slot time in milliseconds
   */
  long costMillisUpTo(int rank) {
    long sum = 0;
    for (long cost : costMillisByRank.headMap(rank, true).values()) {
      sum += cost;
    }
    return sum;
  }

  /**
   * Returns the requests past their deadline.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   * @return earliest deadline first
   */
  List<WaitingRequest> pastDeadline(long nowNanos) {
    List<WaitingRequest> result = new ArrayList<>();
    for (WaitingRequest w : byDeadline) {
      if (nowNanos - w.deadlineNanos() < 0) {
        break;
      }
      result.add(w);
    }
    return result;
  }

  /**
   * Returns all waiting requests.
   *
   * @return a copy, in order of arrival
   */
  List<WaitingRequest> all() {
    List<WaitingRequest> result = new ArrayList<>(byId.values());
    result.sort(WaitingRequest.BY_ARRIVAL);
    return result;
  }

  SortedMap<Integer, Integer> sizeByRank() {
    TreeMap<Integer, Integer> result = new TreeMap<>();
    flowsByRank.forEach(
        (rank, flows) -> result.put(rank, flows.values().stream().mapToInt(FlowQueue::size).sum()));
    return result;
  }
}
