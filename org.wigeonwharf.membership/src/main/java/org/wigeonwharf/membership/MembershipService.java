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

/** A MembershipService sends heartbeats, reads the VM list and publishes the view of the fleet. */
public final class MembershipService implements Lifecycle, PeerListener {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long CHECK_MILLIS = 100;
  private static final long VM_LIST_MILLIS = 1_000;

  private final PeerTransport transport;
  private final VmListSource vmListSource;
  private final LongSupplier configRevision;
  private final LongSupplier platformContactAge;
  private final Clock clock;
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
  private final PauseDetector pauses;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "membership"));
  private final ScheduledExecutorService reader =
      Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "vm-list"));

  private @Nullable LiveSet liveSet;
  private volatile @Nullable MembershipView view;
  private long heartbeats;
  private boolean leaving;

  /**
   * Creates a service; it registers with the transport at once and works once started.
   *
   * @param transport connections to peers
   * @param vmListSource the platform's VM list
   * @param configRevision tells the revision in force here
   * @param platformContactAge tells the age of the last platform contact in milliseconds, or -1
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
    this.pauses = new PauseDetector(clock.nanos());
    transport.listen(this);
    transport.handle(Topic.MEMBERSHIP, this::received);
  }

  private static Thread daemon(Runnable r, String name) {
    Thread t = new Thread(r, name);
    t.setDaemon(true);
    return t;
  }

  /**
   * Starts heartbeats and reading; the transport must have started.
   *
   * @throws IllegalStateException if the transport has not started
   */
  @Override
  public void start() {
    LiveSet set = new LiveSet(transport.self());
    liveSet = set;
    view = set.view(clock.nanos(), configRevision.getAsLong(), platformContactAge.getAsLong());
    executor.scheduleWithFixedDelay(
        this::sendHeartbeats, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    executor.scheduleWithFixedDelay(this::checkSilence, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    reader.scheduleWithFixedDelay(this::readVmList, 0, VM_LIST_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    executor.shutdownNow();
    reader.shutdownNow();
  }

  /** Tells peers at once that this process is stopping and takes no scheduler role any more. */
  public void leave() {
    run(
        () -> {
          leaving = true;
          set().leave();
          sendHeartbeats();
          publish();
        });
  }

  /**
   * Returns the newest view.
   *
   * @return never null once started
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
   * Registers a listener that hears of every changed view; called before {@link #start()}.
   *
   * @param listener called on the membership thread; must not block
   */
  public void listen(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  @Override
  public void peerUp(Peer peer) {
    run(
        () -> {
          logPeer("peer.up", peer);
          set().peerUp(peer, clock.nanos());
          sendHeartbeat(peer);
          publish();
        });
  }

  @Override
  public void peerDown(Peer peer) {
    run(
        () -> {
          logPeer("peer.down", peer);
          set().peerDown(peer);
          publish();
        });
  }

  private static void logPeer(String event, Peer peer) {
    LOG.atInfo().addKeyValue("event", event).addKeyValue("peer", peer.node()).log(event);
  }

  private LiveSet set() {
    LiveSet s = liveSet;
    if (s == null) {
      throw new IllegalStateException("membership has not started");
    }
    return s;
  }

  private void received(Peer from, byte[] body) throws InvalidProtocolBufferException {
    MembershipMessage message = MembershipMessage.parseFrom(body);
    if (message.hasHeartbeat()) {
      Heartbeat h = message.getHeartbeat();
      run(() -> heard(from, h));
    }
  }

  private void heard(Peer from, Heartbeat h) {
    set()
        .heartbeat(
            from,
            h.getLeaving(),
            h.getConfigRevision(),
            h.getPlatformContactAgeMillis(),
            clock.nanos());
    if (h.getLeaving()) {
      publish();
    }
  }

  private void sendHeartbeats() {
    heartbeats++;
    transport.peers().forEach(this::sendHeartbeat);
  }

  private void sendHeartbeat(Peer peer) {
    Heartbeat h =
        Heartbeat.newBuilder()
            .setSequence(heartbeats)
            .setConfigRevision(configRevision.getAsLong())
            .setPlatformContactAgeMillis(platformContactAge.getAsLong())
            .setLeaving(leaving)
            .build();
    byte[] body = MembershipMessage.newBuilder().setHeartbeat(h).build().toByteArray();
    transport.send(peer.node(), Topic.MEMBERSHIP, body);
  }

  private void run(Runnable task) {
    try {
      executor.execute(
          () -> {
            checkPause();
            task.run();
          });
    } catch (RejectedExecutionException e) {
      LOG.atDebug().addKeyValue("event", "membership.stopped").log("event after stop");
    }
  }

  private void checkPause() {
    LiveSet s = liveSet;
    if (pauses.check(clock.nanos()) && s != null) {
      LOG.atWarn().addKeyValue("event", "membership.paused").log("process was paused");
      s.paused(clock.nanos());
    }
  }

  private void checkSilence() {
    checkPause();
    publish();
  }

  private void publish() {
    MembershipView next =
        set().view(clock.nanos(), configRevision.getAsLong(), platformContactAge.getAsLong());
    MembershipView last = view;
    view = next;
    if (last == null || !sameRoles(last, next)) {
      listeners.forEach(l -> l.accept(next));
    }
  }

  private static boolean sameRoles(MembershipView a, MembershipView b) {
    return roles(a).equals(roles(b));
  }

  private static List<String> roles(MembershipView v) {
    return v.members().stream().map(m -> m.peer().node() + "/" + m.leaving()).toList();
  }

  private void readVmList() {
    try {
      List<EntryVm> vms = vmListSource.read();
      run(
          () -> {
            set().vmList(vms);
            transport.connectTo(set().addresses());
            publish();
          });
    } catch (IOException e) {
      LOG.atWarn()
          .addKeyValue("event", "vmlist.unreachable")
          .addKeyValue("reason", e.getMessage())
          .log("VM list can't be read");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
