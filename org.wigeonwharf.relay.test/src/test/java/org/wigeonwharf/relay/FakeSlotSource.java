package org.wigeonwharf.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.SlotSource;

/** Grants leases immediately, in round-robin order of the servers, and records how they end. */
final class FakeSlotSource implements SlotSource {
  private final ConfigStore store;
  private final List<Outcome> outcomes = new ArrayList<>();
  private final Deque<Long> leaseDurationsMillis = new ArrayDeque<>();
  private int grantsLeft = Integer.MAX_VALUE;
  private int grants;
  private final Map<RequestId, SlotListener> listenersById = new LinkedHashMap<>();

  FakeSlotSource(ConfigStore store) {
    this.store = store;
  }

  /** Limits the number of further grants; later requests are refused for lack of capacity. */
  synchronized void limitGrants(int count) {
    grantsLeft = count;
  }

  /** Sets the duration of the next lease; several calls apply to successive leases. */
  synchronized void addLeaseDuration(long millis) {
    leaseDurationsMillis.add(millis);
  }

  @Override
  public void acquire(SlotRequest request, SlotListener listener) {
    Lease lease = createLease(request, listener);
    if (lease == null) {
      listener.refused(RefusalReason.CAPACITY, 1_000);
    } else {
      listener.granted(lease);
    }
  }

  private synchronized Lease createLease(SlotRequest request, SlotListener listener) {
    if (grantsLeft == 0) {
      return null;
    }
    grantsLeft--;
    listenersById.put(request.id(), listener);
    Long millis = leaseDurationsMillis.poll();
    List<BackendServer> servers =
        List.copyOf(
            store.current().config().services().get(request.shard().service()).servers().values());
    long expiresAt = System.nanoTime() + (millis == null ? 5_000 : millis) * Clock.NANOS_PER_MILLI;
    int n = grants++;
    return new Lease(request, n + 1, servers.get(n % servers.size()), expiresAt);
  }

  @Override
  public void cancel(RequestId id) {}

  @Override
  public synchronized void end(Outcome outcome) {
    outcomes.add(outcome);
    listenersById.remove(outcome.request());
  }

  /** Preempts every request that has a lease. */
  void preemptAll() {
    List<SlotListener> all;
    synchronized (this) {
      all = List.copyOf(listenersById.values());
    }
    all.forEach(SlotListener::preempted);
  }

  synchronized int grants() {
    return grants;
  }

  synchronized List<LeaseEnd> ends() {
    return outcomes.stream().map(Outcome::end).toList();
  }

  /** Returns whether every granted lease was ended exactly once. */
  synchronized boolean allLeasesEndedOnce() {
    return outcomes.size() == grants
        && outcomes.stream().mapToLong(Outcome::lease).distinct().count() == grants;
  }
}
