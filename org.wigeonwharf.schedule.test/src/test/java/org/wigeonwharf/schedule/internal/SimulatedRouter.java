package org.wigeonwharf.schedule.internal;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.wigeonwharf.membership.PauseDetector;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;

/** A router of a {@link SimulatedFleet}; while paused, it queues its tasks and messages. */
final class SimulatedRouter {
  private static final int MAX_RUN_MILLIS = 400;

  final Peer peer;
  final SchedulerHost host;
  final SlotClient client;
  final MessageDispatcher messages;
  final Set<Peer> peers = new TreeSet<>(Comparator.comparing(Peer::node));
  final Map<RequestId, Call> calls = new LinkedHashMap<>();
  boolean paused;
  boolean dead;
  boolean leaving;

  private final SimulatedFleet fleet;
  private final Deque<Runnable> backlog = new ArrayDeque<>();
  private final PauseDetector pauseDetector;
  private long sequence;

  /** Records the decisions on one slot request and simulates its run. */
  final class Call implements SlotListener {
    final RequestId id;
    final long sinceMillis = fleet.millis();
    int granted;
    int refused;
    int cancelled;
    ServerId server;

    Call(RequestId id) {
      this.id = id;
    }

    int ends() {
      return granted + refused + cancelled;
    }

    @Override
    public void granted(Lease lease) {
      granted++;
      server = lease.server().id();
      fleet.inUse.merge(server, 1, Integer::sum);
      fleet.after(
          20 + fleet.random.nextInt(MAX_RUN_MILLIS),
          () -> runWhenResumed(() -> finish(this, lease)));
    }

    @Override
    public void refused(RefusalReason reason, long retryAfterMillis) {
      refused++;
    }

    @Override
    public void preempted() {}
  }

  SimulatedRouter(SimulatedFleet fleet, Peer peer) {
    this.fleet = fleet;
    this.peer = peer;
    host =
        new SchedulerHost(
            node(), fleet::nanos, (to, m) -> fleet.send(this, to, m), (from, revision) -> {});
    client = new SlotClient(node(), fleet::nanos, (to, m) -> fleet.send(this, to, m));
    messages = new MessageDispatcher(host, client);
    pauseDetector = new PauseDetector(fleet.nanos());
  }

  NodeId node() {
    return peer.node();
  }

  void start() {
    host.configure(fleet.snapshot);
    client.configure(fleet.snapshot);
    applyView();
    tick();
  }

  private void tick() {
    runWhenResumed(
        () -> {
          host.tick();
          client.tick();
        });
    if (!dead) {
      fleet.after(SimulatedFleet.TICK_MILLIS, this::tick);
    }
  }

  void applyView() {
    host.view(fleet.viewOf(this));
    client.view(fleet.viewOf(this));
  }

  void runWhenResumed(Runnable task) {
    if (dead) {
      return;
    }
    if (paused) {
      backlog.add(task);
    } else {
      task.run();
    }
  }

  void pause() {
    paused = true;
    pauseDetector.check(fleet.nanos());
  }

  void resume() {
    paused = false;
    if (pauseDetector.check(fleet.nanos())) {
      host.handlePause();
      client.handlePause();
    }
    while (!backlog.isEmpty()) {
      backlog.poll().run();
    }
  }

  void kill() {
    dead = true;
    calls.values().forEach(this::release);
  }

  Call acquire(int service) {
    RequestId id = new RequestId(node(), ++sequence);
    Call call = new Call(id);
    calls.put(id, call);
    ShardId s = new ShardId(new ServiceId("s" + service), new FailureDomain("d0"), 0);
    client.acquire(
        new SlotRequest(id, s, new ClassId("c"), new AccountId("a"), 0, 0, 0, true, 1), call);
    return call;
  }

  void cancel(Call call) {
    if (call.ends() == 0) {
      call.cancelled++;
      client.cancel(call.id);
    }
  }

  private void finish(Call call, Lease lease) {
    release(call);
    client.end(
        new Outcome(
            call.id,
            lease.request().shard(),
            lease.number(),
            lease.server().id(),
            LeaseEnd.FINISHED,
            1,
            1,
            1));
  }

  private void release(Call call) {
    if (call.server != null) {
      fleet.inUse.merge(call.server, -1, Integer::sum);
      call.server = null;
    }
  }
}
