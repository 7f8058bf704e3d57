package org.wigeonwharf.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.membership.wire.Heartbeat;
import org.wigeonwharf.membership.wire.MembershipMessage;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;

/** Sends heartbeats, reads the VM list and publishes the membership view of the fleet. */
public final class MembershipService implements Lifecycle, PeerListener {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
  private static final long LIVENESS_CHECK_INTERVAL_MILLIS = 100;
  private static final long VM_LIST_READ_INTERVAL_MILLIS = 1_000;

  private final PeerTransport transport;
  private final VmListSource vmListSource;
  private final LongSupplier configRevision;
  private final LongSupplier platformContactAge;
  private final Clock clock;
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
  private final PauseDetector pauseDetector;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(r -> newDaemonThread(r, "membership"));
  private final ScheduledExecutorService vmListExecutor =
      Executors.newSingleThreadScheduledExecutor(r -> newDaemonThread(r, "vm-list"));

  private @Nullable LivenessTracker livenessTracker;
  private volatile @Nullable MembershipView view;
  private long heartbeatSequence;
  private boolean leaving;

  /**
   * Creates a service and registers it with the transport. It is idle until started.
   *
   * @param transport the connections to peers
   * @param vmListSource the source of the platform's VM list
   * @param configRevision supplies the configuration revision in force in this process
   * @param platformContactAge supplies the age of this process's last contact with the platform in
   *     milliseconds, or -1 for never
   * @param clock the process's clock
   */
  public MembershipService(
      PeerTransport transport,
      VmListSource vmListSource,
      LongSupplier configRevision,
      LongSupplier platformContactAge,
      Clock clock) {
    this.transport = transport;
    this.vmListSource = vmListSource;
    this.configRevision = configRevision;
    this.platformContactAge = platformContactAge;
    this.clock = clock;
    this.pauseDetector = new PauseDetector(clock.nanos());
    transport.addListener(this);
    transport.registerHandler(Topic.MEMBERSHIP, this::handleMessage);
  }

  private static Thread newDaemonThread(Runnable r, String name) {
    Thread t = new Thread(r, name);
    t.setDaemon(true);
    return t;
  }

  /**
   * Starts sending heartbeats and reading the VM list. The transport must have started.
   *
   * @throws IllegalStateException if the transport has not started
   */
  @Override
  public void start() {
    LivenessTracker tracker = new LivenessTracker(transport.self());
    livenessTracker = tracker;
    MembershipView initial =
        tracker.computeView(
            clock.nanos(), configRevision.getAsLong(), platformContactAge.getAsLong());
    view = initial;
    executor.execute(() -> listeners.forEach(l -> l.accept(initial)));
    executor.scheduleWithFixedDelay(
        this::sendHeartbeats, 0, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    executor.scheduleWithFixedDelay(
        this::checkLiveness, 0, LIVENESS_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    vmListExecutor.scheduleWithFixedDelay(
        this::readVmList, 0, VM_LIST_READ_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
    vmListExecutor.shutdownNow();
  }

  /** Announces to all peers that this process is stopping and takes no scheduler role any more. */
  public void leave() {
    submit(
        () -> {
          leaving = true;
          tracker().leave();
          sendHeartbeats();
          publishView();
        });
  }

  /**
   * Returns the latest view.
   *
   * @return the view, never null
   * @throws IllegalStateException if the service has not started
   */
  public MembershipView view() {
    MembershipView v = view;
    if (v == null) {
      throw new IllegalStateException("membership has not started");
    }
    return v;
  }

  /**
   * Registers a listener for the first view and every change of the members or their leaving state.
   * Must be called before {@link #start()}.
   *
   * @param listener called on the membership thread; must not block
   */
  public void addListener(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  @Override
  public void peerUp(Peer peer) {
    submit(
        () -> {
          logPeer("peer.up", peer);
          tracker().peerUp(peer, clock.nanos());
          sendHeartbeat(peer);
          publishView();
        });
  }

  @Override
  public void peerDown(Peer peer) {
    submit(
        () -> {
          logPeer("peer.down", peer);
          tracker().peerDown(peer);
          publishView();
        });
  }

  private static void logPeer(String event, Peer peer) {
    LOG.atInfo().addKeyValue("event", event).addKeyValue("peer", peer.node()).log(event);
  }

  private LivenessTracker tracker() {
    LivenessTracker t = livenessTracker;
    if (t == null) {
      throw new IllegalStateException("membership has not started");
    }
    return t;
  }

  private void handleMessage(Peer from, byte[] body) throws InvalidProtocolBufferException {
    MembershipMessage message = MembershipMessage.parseFrom(body);
    if (message.hasHeartbeat()) {
      Heartbeat h = message.getHeartbeat();
      submit(() -> handleHeartbeat(from, h));
    }
  }

  private void handleHeartbeat(Peer from, Heartbeat h) {
    tracker()
        .recordHeartbeat(
            from,
            h.getLeaving(),
            h.getConfigRevision(),
            h.getPlatformContactAgeMillis(),
            clock.nanos());
    if (h.getLeaving()) {
      publishView();
    }
  }

  private void sendHeartbeats() {
    heartbeatSequence++;
    transport.peers().forEach(this::sendHeartbeat);
  }

  private void sendHeartbeat(Peer peer) {
    Heartbeat h =
        Heartbeat.newBuilder()
            .setSequence(heartbeatSequence)
            .setConfigRevision(configRevision.getAsLong())
            .setPlatformContactAgeMillis(platformContactAge.getAsLong())
            .setLeaving(leaving)
            .build();
    byte[] body = MembershipMessage.newBuilder().setHeartbeat(h).build().toByteArray();
    transport.send(peer.node(), Topic.MEMBERSHIP, body);
  }

  private void submit(Runnable task) {
    try {
      executor.execute(
          () -> {
            checkPause();
            task.run();
          });
    } catch (RejectedExecutionException e) {
      LOG.atDebug()
          .addKeyValue("event", "membership.stopped")
          .log("membership service has stopped; ignoring event");
    }
  }

  private void checkPause() {
    LivenessTracker t = livenessTracker;
    if (pauseDetector.check(clock.nanos()) && t != null) {
      LOG.atWarn()
          .addKeyValue("event", "membership.paused")
          .log("process was paused; restarting the suspicion timeouts of peers");
      t.recordPause(clock.nanos());
    }
  }

  private void checkLiveness() {
    checkPause();
    publishView();
  }

  private void publishView() {
    MembershipView next =
        tracker()
            .computeView(clock.nanos(), configRevision.getAsLong(), platformContactAge.getAsLong());
    MembershipView previous = view;
    view = next;
    if (previous == null || !haveSameMembers(previous, next)) {
      listeners.forEach(l -> l.accept(next));
    }
  }

  private static boolean haveSameMembers(MembershipView a, MembershipView b) {
    return memberStates(a).equals(memberStates(b));
  }

  private static List<String> memberStates(MembershipView v) {
    return v.members().stream().map(m -> m.peer().node() + "/" + m.leaving()).toList();
  }

  private void readVmList() {
    try {
      List<EntryVm> vms = vmListSource.read();
      submit(
          () -> {
            tracker().updateVmList(vms);
            transport.connectTo(tracker().peerAddresses());
            publishView();
          });
    } catch (IOException e) {
      LOG.atWarn()
          .addKeyValue("event", "vmlist.unreachable")
          .addKeyValue("reason", e.getMessage())
          .log("cannot read VM list; keeping the previous one");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
