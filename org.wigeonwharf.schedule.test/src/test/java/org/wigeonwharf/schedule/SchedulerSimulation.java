package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;

/**
 * Drives one scheduler with random events in virtual time and checks every decision against a model
 * of the waiting and running requests.
 */
final class SchedulerSimulation {
  final ConfigBuilder config = new ConfigBuilder();
  final Random random;
  final ShardScheduler scheduler;
  final Map<RequestId, SlotRequest> waiting = new LinkedHashMap<>();
  final Map<RequestId, Decision.Grant> running = new LinkedHashMap<>();
  final Map<RequestId, SlotRequest> requestsById = new HashMap<>();
  final Set<RequestId> preemptionPending = new HashSet<>();
  final Map<ClassId, Integer> grants = new HashMap<>();
  final List<Decision> decisionLog = new ArrayList<>();
  long nowNanos;
  private long sequence;

  SchedulerSimulation(long seed, PolicyOptions options) {
    random = new Random(seed);
    scheduler = new ShardScheduler(ConfigBuilder.SHARD, () -> nowNanos, options);
  }

  void randomConfig() {
    int classes = 2 + random.nextInt(4);
    for (int i = 0; i < classes; i++) {
      long target = 100L << random.nextInt(8);
      long deadline = target * (1 + random.nextInt(4));
      double share = random.nextInt(3) * 0.08;
      config.classOf("c" + i, random.nextInt(3), target, deadline, share, 1 + random.nextInt(3));
    }
    config.waitingPlaces = 5 + random.nextInt(25);
    for (int i = 0; i < 3; i++) {
      config.account("a" + i, 1 + i, ConfigBuilder.UNLIMITED);
    }
    randomServers();
  }

  private void randomServers() {
    config.servers.clear();
    int servers = 1 + random.nextInt(4);
    for (int i = 0; i < servers; i++) {
      config.server("s" + i, 1 + random.nextInt(4), random.nextInt(6) == 0);
    }
  }

  void configure() {
    check(scheduler.configure(config.build(), config.serverList()), null);
  }

  /** Applies one random event. */
  void step() {
    switch (random.nextInt(16)) {
      case 0, 1, 2, 3, 4, 5 -> request(anyOf(config.classes.keySet()), anyOf(accountIds()));
      case 6, 7, 8, 9 -> end(LeaseEnd.FINISHED);
      case 10 -> end(random.nextBoolean() ? LeaseEnd.RETURNED : LeaseEnd.CANCELLED);
      case 11 -> cancel();
      case 12, 13 -> {
        nowNanos += random.nextInt(400) * Clock.NANOS_PER_MILLI;
        check(scheduler.tick(), null);
      }
      case 14 -> reconfigure();
      default -> load();
    }
    assertEquals(waiting.size(), scheduler.waiting());
    assertEquals(running.size(), scheduler.leased());
  }

  private Set<AccountId> accountIds() {
    return config.accounts.keySet();
  }

  private void reconfigure() {
    if (random.nextInt(4) == 0) {
      randomServers();
      configure();
    }
  }

  private void load() {
    LoadReport report = new LoadReport(random.nextInt(5), random.nextInt(3), random.nextInt(3_000));
    check(scheduler.recordLoad(anyOf(config.servers.keySet()), report), null);
  }

  <T> T anyOf(Set<T> all) {
    return new ArrayList<>(all).get(random.nextInt(all.size()));
  }

  RequestId request(ClassId serviceClass, AccountId account) {
    RequestId id = new RequestId(new NodeId("n" + random.nextInt(2), 1), ++sequence);
    submit(new SlotRequest(id, ConfigBuilder.SHARD, serviceClass, account, 0, 0, 0, true, 1));
    return id;
  }

  private void submit(SlotRequest r) {
    requestsById.put(r.id(), r);
    waiting.put(r.id(), r);
    check(scheduler.submit(r), r);
  }

  /** Varies the answer length by class; the deadline serves as a property that no step changes. */
  private static boolean hasLongAnswers(ClassSpec c) {
    return c.deadline().toMillis() % 200 == 0;
  }

  void end(LeaseEnd how) {
    if (!running.isEmpty()) {
      RequestId id = anyOf(running.keySet());
      end(id, how, 1 + random.nextInt(hasLongAnswers(specOf(id)) ? 4_000 : 40));
    }
  }

  void end(RequestId id, LeaseEnd how, int tokens) {
    Decision.Grant g = running.remove(id);
    preemptionPending.remove(id);
    Outcome o =
        new Outcome(
            id, ConfigBuilder.SHARD, g.lease(), g.server(), how, 100, tokens, 100 + tokens * 40L);
    check(scheduler.recordOutcome(o), null);
  }

  private void cancel() {
    if (!waiting.isEmpty()) {
      RequestId id = anyOf(waiting.keySet());
      waiting.remove(id);
      scheduler.cancel(id);
    }
  }

  /** Ends preempted streams and queues their remainder, as a router does. */
  void applyPreemptions() {
    for (RequestId id : List.copyOf(preemptionPending)) {
      end(id, LeaseEnd.CANCELLED, 10);
      if (!waiting.containsKey(id) && !running.containsKey(id)) {
        submit(requestsById.get(id));
      }
    }
  }

  ClassSpec specOf(RequestId id) {
    return config.classes.get(requestsById.get(id).serviceClass());
  }

  /** Checks decisions against the model and applies them to it. */
  void check(List<Decision> decisions, SlotRequest submitted) {
    for (Decision d : decisions) {
      decisionLog.add(d);
      if (d instanceof Decision.Grant g) {
        checkGrant(g);
      } else if (d instanceof Decision.Refusal r) {
        checkRefusal(r, submitted);
      } else if (d instanceof Decision.Preemption p) {
        checkPreemption(p);
      }
    }
  }

  private void checkGrant(Decision.Grant g) {
    SlotRequest r = waiting.remove(g.request());
    assertTrue(r != null, "grant for a request that does not wait: " + g);
    running.put(g.request(), g);
    grants.merge(r.serviceClass(), 1, Integer::sum);
    var server = config.servers.get(g.server());
    assertTrue(server != null && !server.leaving(), "grant on a leaving or unknown server: " + g);
    assertTrue(usedOf(g.server()) <= server.slots(), "grant beyond the slots of the server: " + g);
  }

  int usedOf(ServerId server) {
    return (int) running.values().stream().filter(g -> g.server().equals(server)).count();
  }

  private void checkRefusal(Decision.Refusal r, SlotRequest submitted) {
    assertTrue(
        waiting.remove(r.request()) != null, "refusal of a request that does not wait: " + r);
    ClassSpec spec = specOf(r.request());
    boolean early = submitted != null && submitted.id().equals(r.request());
    if (r.reason() == RefusalReason.CAPACITY || (r.reason() == RefusalReason.DEADLINE && early)) {
      for (ClassSpec c : config.classes.values()) {
        boolean lower = spec.tier().isHigherThan(c.tier());
        assertFalse(
            lower && waitingOf(c.id()) > c.waitingPlaces(),
            "refused while a lower tier uses shared places: " + r);
      }
      assertTrue(
          waitingOf(spec.id()) >= spec.waitingPlaces(),
          "refused although its class has own places left: " + r);
    }
  }

  long waitingOf(ClassId c) {
    return waiting.values().stream().filter(w -> w.serviceClass().equals(c)).count();
  }

  private void checkPreemption(Decision.Preemption p) {
    assertTrue(running.containsKey(p.request()), "preemption of a request that does not run: " + p);
    assertTrue(preemptionPending.add(p.request()), "second preemption of the same lease: " + p);
    ClassSpec victim = specOf(p.request());
    assertTrue(
        waiting.keySet().stream().anyMatch(w -> specOf(w).tier().isHigherThan(victim.tier())),
        "preemption while no higher tier waits: " + p);
  }

  /** Returns the number of slots that could be granted. */
  int freeSlots() {
    return config.servers.values().stream()
        .filter(s -> !s.leaving())
        .mapToInt(s -> Math.max(0, s.slots() - usedOf(s.id())))
        .sum();
  }
}
