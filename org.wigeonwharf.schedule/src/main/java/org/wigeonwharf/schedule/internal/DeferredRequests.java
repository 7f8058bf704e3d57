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
 * DeferredRequests holds slot requests back while their router knows a newer configuration than
 * this process, so that a raised limit is not judged by an old one. Not thread-safe.
 */
final class DeferredRequests {
  /** Longest wait for the newer configuration; then the one held decides. */
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
   * Takes out the requests that need not be held back any more.
   *
   * @param revisionInForce the revision in force here
   * @param nowNanos the current time
   * @return the requests in the order they came, with the time they were held back added
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
