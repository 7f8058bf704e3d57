package org.wigeonwharf.gateway.http;

import org.wigeonwharf.gateway.overload.QueuedRequest;
import org.wigeonwharf.gateway.overload.SlotTimes;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.model.Clock;

/** Describes what requests need of a server and until when. */
final class RequestNeeds {
  /** Slot time in ms of a request about which nothing has been measured. */
  private static final double TYPICAL_SLOT_MILLIS = 40;

  /** Minimum time in ms without an event after which callers abandon a stream. */
  private static final long MIN_STREAM_PATIENCE_MILLIS = 2_000;

  /** Multiple of the latency objective without an event after which callers abandon a stream. */
  private static final long OBJECTIVE_PATIENCE_FACTOR = 4;

  /**
   * Multiple of the inter-token latency objective without an event after which callers abandon a
   * stream.
   */
  private static final long INTERVAL_PATIENCE_FACTOR = 8;

  private final ExchangeManager manager;

  RequestNeeds(ExchangeManager manager) {
    this.manager = manager;
  }

  /**
   * Describes a request.
   *
   * @param a its admission
   * @param arrivedAt the time in nanoseconds at which it arrived
   * @param number its number
   * @param repeated true if it was sent to a server before
   */
  QueuedRequest describe(Admission a, long arrivedAt, long number, boolean repeated) {
    Demand d = a.demand();
    double slotMillis = measuredSlotMillis(a);
    double ownMillis = slotMillis;
    ServiceSpec spec = a.table().service(d.service());
    EngineSpec engine = spec == null ? null : spec.engine();
    if (engine != null && d.hasPrompt()) {
      int ownTokens = d.promptTokens() - d.sharedPrefixTokens();
      ownMillis = manager.chooser().prefillRate(d.service()).toMillis(ownTokens);
      slotMillis = Math.max(slotMillis, ownMillis * engine.slots());
    }
    return new QueuedRequest(
        d.service(),
        d.priority(),
        d.account(),
        slotMillis,
        ownMillis,
        arrivedAt,
        arrivedAt + d.objectiveMillis() * Clock.NANOS_PER_MILLI,
        leavesAt(a, arrivedAt),
        repeated,
        number);
  }

  private double measuredSlotMillis(Admission a) {
    SlotTimes times = manager.overload().slotTimes();
    double millis = times.ofRoute(a.service(), a.route().name());
    return millis > 0 ? millis : TYPICAL_SLOT_MILLIS;
  }

  private static long leavesAt(Admission a, long arrivedAt) {
    Route r = a.route();
    if (!r.kind().isStream()) {
      return a.deadlineAt();
    }
    long patienceMillis =
        Math.max(
            MIN_STREAM_PATIENCE_MILLIS,
            Math.max(
                OBJECTIVE_PATIENCE_FACTOR * r.objectiveMillis(),
                INTERVAL_PATIENCE_FACTOR * r.interTokenObjectiveMillis()));
    long abandonedAt = arrivedAt + patienceMillis * Clock.NANOS_PER_MILLI;
    return abandonedAt - a.deadlineAt() < 0 ? abandonedAt : a.deadlineAt();
  }
}
