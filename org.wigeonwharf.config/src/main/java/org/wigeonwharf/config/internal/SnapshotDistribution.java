package org.wigeonwharf.config.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.config.wire.ConfigMessage;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;

/** Runs the {@link SnapshotExchange} with peers on a single thread of its own. */
public final class SnapshotDistribution implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(SnapshotDistribution.class);
  private static final long TICK_INTERVAL_MILLIS = 100;
  private static final long NOTICE_INTERVAL_MILLIS = 1_000;

  private final PeerTransport transport;
  private final ConfigStore store;
  private final SnapshotExchange exchange;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(SnapshotDistribution::newDaemonThread);

  /**
   * Creates a distribution and registers it with the transport; it sends nothing until started.
   *
   * @param domain the own failure domain
   * @param transport connections to peers
   * @param view the live routers
   * @param store holds the snapshot in force
   * @param adopter receives the snapshots of peers
   * @param clock the process's clock
   * @param random draws jitter and breaks ties
   */
  public SnapshotDistribution(
      FailureDomain domain,
      PeerTransport transport,
      Supplier<MembershipView> view,
      ConfigStore store,
      Adopter adopter,
      Clock clock,
      Random random) {
    this.transport = transport;
    this.store = store;
    this.exchange = new SnapshotExchange(domain, view, store, adopter, this::send, clock, random);
    transport.registerHandler(Topic.CONFIG, this::onMessage);
  }

  private static Thread newDaemonThread(Runnable r) {
    Thread t = new Thread(r, "config-spread");
    t.setDaemon(true);
    return t;
  }

  @Override
  public void start() {
    executor.scheduleWithFixedDelay(
        () -> runLoggingFailure(exchange::tick), 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    executor.scheduleWithFixedDelay(
        () -> runLoggingFailure(() -> exchange.sendNotice(transport.peers())),
        NOTICE_INTERVAL_MILLIS,
        NOTICE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  /**
   * Handles the revision that a peer reports and requests it at once if it is higher.
   *
   * @param peer the peer
   * @param revision the revision in force at the peer
   */
  public void onPeerRevision(NodeId peer, long revision) {
    if (revision > store.current().revision()) {
      execute(() -> exchange.onPeerRevision(peer, revision));
    }
  }

  /**
   * Sends a newly adopted snapshot to the peers that {@link PushPolicy} chooses.
   *
   * @param adopted the newly adopted snapshot
   * @param before the snapshot in force before; unchanged files are omitted for peers that report a
   *     configuration
   * @param origin the failure domain of the peer that sent it, or null for the platform
   */
  public void push(Snapshot adopted, Snapshot before, @Nullable FailureDomain origin) {
    execute(() -> exchange.push(adopted, before, origin));
  }

  private void execute(Runnable task) {
    try {
      executor.execute(() -> runLoggingFailure(task));
    } catch (RejectedExecutionException e) {
      LOG.atDebug()
          .addKeyValue("event", "config.spread.stopped")
          .log("snapshot distribution is stopped; task ignored");
    }
  }

  /** Runs a task and logs its exception, which would otherwise cancel a periodic task. */
  private static void runLoggingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.atError()
          .setCause(e)
          .addKeyValue("event", "config.spread.failed")
          .log("snapshot distribution task failed");
    }
  }

  private boolean send(NodeId to, ConfigMessage message) {
    return transport.send(to, Topic.CONFIG, message.toByteArray());
  }

  private void onMessage(Peer from, byte[] body) throws InvalidProtocolBufferException {
    ConfigMessage message = ConfigMessage.parseFrom(body);
    execute(() -> exchange.onMessage(from, message));
  }
}
