package org.wigeonwharf.gateway.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Orders the requests that wait for room by priority, client account and due time.
 *
 * <p>More urgent requests of a service precede less urgent ones. A lower priority that has used
 * less than a small share of the servers' time recently may precede, if the more urgent requests
 * can still be on time afterwards or if it delays them by no more than one of their own would.
 *
 * <p>Within a priority, accounts get server time in proportion to the mean of what they and what
 * all use usually, whether their requests had to wait or not; an account that sends many times its
 * usual waits for itself. Within an account the request that is due first and can still be on time
 * comes first, whatever its size, and then the late ones. Requests that were sent before follow
 * those that were not.
 *
 * <p>Not thread-safe.
 *
 * @param <T> the type of the waiting requests
 */
public final class FairQueue<T> {
  /** Share of the servers' time that each lower priority gets while it has requests waiting. */
  private static final double MIN_PRIORITY_SHARE = 1 / 16.0;

  private final Map<T, QueuedRequest> waiting = new LinkedHashMap<>();
  private final ServerUsage usage;

  /** One waiting request. */
  private record Item<T>(T value, QueuedRequest request) {}

  /**
   * Creates an empty queue.
   *
   * @param usage the server time that accounts and priorities have used
   */
  public FairQueue(ServerUsage usage) {
    this.usage = usage;
  }

  /**
   * Adds a request.
   *
   * @param value the request
   * @param request what it needs
   */
  public void add(T value, QueuedRequest request) {
    waiting.put(value, request);
  }

  /**
   * Removes a request.
   *
   * @param value the request
   * @return true if it was waiting
   */
  public boolean remove(T value) {
    return waiting.remove(value) != null;
  }

  /**
   * Returns what a waiting request needs.
   *
   * @param value the request
   * @return its description, or null if it does not wait
   */
  public @Nullable QueuedRequest find(T value) {
    return waiting.get(value);
  }

  /** Returns the waiting requests in the order in which they were added. */
  public Collection<T> values() {
    return Collections.unmodifiableCollection(waiting.keySet());
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return waiting.size();
  }

  /**
   * Returns the waiting requests in the order in which they should be sent.
   *
   * @param now the current time in nanoseconds
   * @return all waiting requests; those of different services one service after the other
   */
  public List<T> inOrder(long now) {
    Map<String, List<Item<T>>> services = new LinkedHashMap<>();
    waiting.forEach(
        (v, r) ->
            services.computeIfAbsent(r.service(), s -> new ArrayList<>()).add(new Item<>(v, r)));
    List<T> order = new ArrayList<>(waiting.size());
    services.forEach(
        (service, items) -> {
          ServiceOrder<T> o = new ServiceOrder<>(usage.of(service, now), now);
          items.forEach(o::add);
          o.drainTo(order);
        });
    return order;
  }

  /** Orders the requests of one service, counting the use of those that come first. */
  private static final class ServiceOrder<T> {
    private final ServiceUsage usage;
    private final long now;
    private final TreeMap<Integer, Map<String, Account<T>>> levels = new TreeMap<>();
    private final Map<Integer, Double> levelUse;
    private final Map<String, Double> accountUse = new HashMap<>();

    /** The waiting requests of one account and priority. */
    private static final class Account<T> {
      private final String name;
      private final Map<String, Account<T>> level;
      private final PriorityQueue<Item<T>> items;

      Account(String name, Map<String, Account<T>> level, Comparator<Item<T>> order) {
        this.name = name;
        this.level = level;
        this.items = new PriorityQueue<>(order);
      }

      QueuedRequest first() {
        return items.element().request();
      }
    }

    ServiceOrder(ServiceUsage usage, long now) {
      this.usage = usage;
      this.now = now;
      this.levelUse = usage.byPriority(now);
    }

    void add(Item<T> item) {
      QueuedRequest r = item.request();
      Map<String, Account<T>> level =
          levels.computeIfAbsent(r.priority(), p -> new LinkedHashMap<>());
      level
          .computeIfAbsent(
              ServiceUsage.key(r.account()), name -> new Account<>(name, level, dueOrder()))
          .items
          .add(item);
    }

    private Comparator<Item<T>> dueOrder() {
      return Comparator.comparing((Item<T> i) -> i.request().repeated())
          .thenComparing(i -> !i.request().canBeOnTime(now))
          .thenComparingLong(i -> i.request().dueAt() - now)
          .thenComparingLong(i -> i.request().number());
    }

    void drainTo(List<T> order) {
      while (!levels.isEmpty()) {
        order.add(take(next()));
      }
    }

    private Account<T> next() {
      Account<T> urgent = first(levels.firstEntry().getValue());
      double total = levelUse.values().stream().mapToDouble(Double::doubleValue).sum();
      for (Map.Entry<Integer, Map<String, Account<T>>> e :
          levels.tailMap(levels.firstKey(), false).entrySet()) {
        if (levelUse.getOrDefault(e.getKey(), 0.0) < MIN_PRIORITY_SHARE * total) {
          Account<T> lower = first(e.getValue());
          if (mayPrecede(lower.first(), urgent.first())) {
            return lower;
          }
        }
      }
      return urgent;
    }

    private boolean mayPrecede(QueuedRequest lower, QueuedRequest urgent) {
      return urgent.hasSlack(now) || lower.slotMillis() <= urgent.slotMillis();
    }

    /** Returns the account with the least use in proportion to its entitlement. */
    private Account<T> first(Map<String, Account<T>> level) {
      Account<T> least = null;
      double leastUse = Double.POSITIVE_INFINITY;
      for (Account<T> a : level.values()) {
        double use = use(a.name) / usage.entitlement(a.name, now);
        if (least == null || use < leastUse) {
          least = a;
          leastUse = use;
        }
      }
      if (least == null) {
        throw new IllegalStateException("a priority without requests");
      }
      return least;
    }

    private double use(String account) {
      return accountUse.computeIfAbsent(account, a -> usage.recent(a, now));
    }

    private T take(Account<T> account) {
      Item<T> item = account.items.remove();
      QueuedRequest r = item.request();
      accountUse.put(account.name, use(account.name) + r.slotMillis());
      levelUse.merge(r.priority(), r.slotMillis(), Double::sum);
      if (account.items.isEmpty()) {
        account.level.remove(account.name);
      }
      if (account.level.isEmpty()) {
        levels.remove(r.priority());
      }
      return item.value();
    }
  }
}
