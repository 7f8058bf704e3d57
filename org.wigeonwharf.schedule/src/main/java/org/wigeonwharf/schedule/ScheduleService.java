package org.wigeonwharf.schedule;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ObjLongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.MembershipService;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.membership.PauseDetector;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.schedule.internal.MessageDispatcher;
import org.wigeonwharf.schedule.internal.SchedulerHost;
import org.wigeonwharf.schedule.internal.SlotClient;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/** Runs a router's shard schedulers and its slot lease client on one thread. */
public final class ScheduleService implements SlotSource, Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(ScheduleService.class);
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long DUMP_TIMEOUT_SECONDS = 2;

  private final PeerTransport transport;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "schedule");
            t.setDaemon(true);
            return t;
          });
  private final SchedulerHost host;
  private final SlotClient client;
  private final MessageDispatcher messages;
  private final Clock clock;
  private final PauseDetector pauseDetector;
  private boolean started;

  /**
   * Creates a service that follows the configuration and the membership view.
   *
   * @param self this process
   * @param transport connections to peers
   * @param membership source of the membership view
   * @param store source of the configuration in force
   * @param newerRevisionListener called with each peer that has a newer configuration than this
   *     process, and with its revision
   * @param clock the process's clock
   */
  public ScheduleService(
      NodeId self,
      PeerTransport transport,
      MembershipService membership,
      ConfigStore store,
      ObjLongConsumer<NodeId> newerRevisionListener,
      Clock clock) {
    this.transport = transport;
    this.clock = clock;
    this.pauseDetector = new PauseDetector(clock.nanos());
    this.host = new SchedulerHost(self, clock, this::send, newerRevisionListener);
    this.client = new SlotClient(self, clock, this::send);
    this.messages = new MessageDispatcher(host, client);
    transport.registerHandler(Topic.SCHEDULE, this::receive);
    store.addListener(s -> submit(() -> configure(s)));
    membership.addListener(v -> submit(() -> applyView(v)));
  }

  private void configure(Snapshot snapshot) {
    host.configure(snapshot);
    client.configure(snapshot);
  }

  private void applyView(MembershipView view) {
    host.view(view);
    client.view(view);
  }

  private boolean send(NodeId to, ScheduleMessage message) {
    return transport.send(to, Topic.SCHEDULE, message.toByteArray());
  }

  private void receive(Peer from, byte[] body) throws InvalidProtocolBufferException {
    ScheduleMessage message = ScheduleMessage.parseFrom(body);
    submit(() -> messages.dispatch(from.node(), message));
  }

  private void submit(Runnable task) {
    try {
      executor.execute(() -> runGuarded(task));
    } catch (RejectedExecutionException e) {
      LOG.atDebug()
          .addKeyValue("event", "schedule.stopped")
          .log("dropped a task submitted after stop");
    }
  }

  private void runGuarded(Runnable task) {
    try {
      checkPause();
      task.run();
    } catch (RuntimeException e) {
      LOG.atError()
          .setCause(e)
          .addKeyValue("event", "schedule.failed")
          .log("task on the schedule thread failed");
    }
  }

  private void checkPause() {
    if (!pauseDetector.check(clock.nanos()) || !started) {
      return;
    }
    LOG.atWarn()
        .addKeyValue("event", "schedule.paused")
        .log("process was paused; gave up the scheduler roles");
    host.handlePause();
    client.handlePause();
  }

  @Override
  public void start() {
    submit(() -> started = true);
    executor.scheduleWithFixedDelay(
        () -> runGuarded(this::tick),
        TICK_INTERVAL_MILLIS,
        TICK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void tick() {
    host.tick();
    client.tick();
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  @Override
  public void acquire(SlotRequest request, SlotListener listener) {
    submit(() -> client.acquire(request, listener));
  }

  @Override
  public void cancel(RequestId id) {
    submit(() -> client.cancel(id));
  }

  @Override
  public void end(Outcome outcome) {
    submit(() -> client.end(outcome));
  }

  /**
   * Returns the state of the schedulers and the slot client for the dump.
   *
   * @return plain maps, lists, strings and numbers
   * @throws Exception if the schedule thread does not answer in time
   */
  public Map<String, Object> dump() throws Exception {
    Callable<Map<String, Object>> task = this::dumpNow;
    return executor.submit(task).get(DUMP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private Map<String, Object> dumpNow() {
    Map<String, Object> shards = new LinkedHashMap<>();
    for (Map.Entry<ShardId, ShardScheduler> e : host.schedulers().entrySet()) {
      Map<String, Object> shard = new LinkedHashMap<>();
      shard.put("waiting", e.getValue().waiting());
      shard.put("leased", e.getValue().leased());
      Map<String, Object> servers = new LinkedHashMap<>();
      e.getValue().leasedByServer().forEach((k, v) -> servers.put(k.value(), v));
      shard.put("leased_by_server", servers);
      shards.put(e.getKey().toString(), shard);
    }
    Map<String, Object> dump = new LinkedHashMap<>();
    dump.put("scheduler_of", shards);
    dump.put("waiting_here", client.waiting());
    dump.put("leases_held_here", client.held());
    return dump;
  }
}
