package org.wigeonwharf.schedule.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.schedule.SlotRequest;

/**
 * Defers slot requests whose router has a newer configuration than this process, so that they are
 * not refused under a limit that the newer configuration raises. Not thread-safe.
 */
final class DeferredRequests {
  /** Longest wait for the newer configuration; after it, the one in force decides. */
  static final long MAX_DEFERRAL_NANOS = 250 * Clock.NANOS_PER_MILLI;

  private final Map<RequestId, Deferred> requests = new LinkedHashMap<>();

  private record Deferred(SlotRequest request, long sinceNanos) {}

  void add(SlotRequest request, long nowNanos) {
    requests.put(request.id(), new Deferred(request, nowNanos));
  }

  void remove(RequestId id) {
    requests.remove(id);
  }

  void removeAllFrom(NodeId node) {
    requests.keySet().removeIf(id -> id.origin().equals(node));
  }

  /**
   * Removes the requests whose configuration revision has arrived or whose deferral has timed out.
   *
   * @param revisionInForce configuration revision in force in this process
   * @param nowNanos the current monotonic time in nanoseconds
   * @return the removed requests in order of arrival, the time of deferral added to their wait
   */
  List<SlotRequest> removeReady(long revisionInForce, long nowNanos) {
    List<SlotRequest> ready = new ArrayList<>();
    Iterator<Deferred> iterator = requests.values().iterator();
    while (iterator.hasNext()) {
      Deferred d = iterator.next();
      long deferredNanos = nowNanos - d.sinceNanos();
      if (d.request().configRevision() <= revisionInForce || deferredNanos >= MAX_DEFERRAL_NANOS) {
        iterator.remove();
        ready.add(d.request().withAddedWait(deferredNanos / Clock.NANOS_PER_MILLI));
      }
    }
    return ready;
  }
}
