package org.wigeonwharf.relay.keys;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.relay.wire.RelayMessage;

/** A KeyService runs a router's decisions about keyed requests on one thread. */
public final class KeyService implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(KeyService.class);
  private static final long TICK_INTERVAL_MILLIS = 250;
  private static final long DRAIN_POLL_MILLIS = 20;

  private final PeerTransport transport;
  private final KeyIssuer issuer;
  private final KeyedRequestDispatcher dispatcher;
  private final AtomicInteger unfinishedExecutions = new AtomicInteger();
  private final ScheduledExecutorService eventLoop =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "keys");
            t.setDaemon(true);
            return t;
          });

  /**
   * Creates a service; the transport must not have started yet.
   *
   * @param self the own process
   * @param secret signs the keys
   * @param transport connections to peers
   * @param clock the process's clock
   * @param executor executes requests with own keys
   */
  public KeyService(
      NodeId self,
      FleetSecret secret,
      PeerTransport transport,
      Clock clock,
      KeyedExecutor executor) {
    this.transport = transport;
    this.issuer = new KeyIssuer(self, secret, clock);
    this.dispatcher =
        new KeyedRequestDispatcher(
            issuer, KeyLimits.STANDARD, clock, this::send, (r, l) -> execute(executor, r, l));
    transport.handle(Topic.RELAY, this::messageReceived);
    transport.listen(new PeerDownListener());
  }

  /** Passes the loss of peers on. */
  private final class PeerDownListener implements PeerListener {
    @Override
    public void peerUp(Peer peer) {}

    @Override
    public void peerDown(Peer peer) {
      runOnEventLoop(() -> dispatcher.peerDown(peer.node()));
    }
  }

  private boolean send(NodeId to, RelayMessage message) {
    return transport.send(to, Topic.RELAY, message.toByteArray());
  }

  private void messageReceived(Peer from, byte[] body) throws InvalidProtocolBufferException {
    RelayMessage message = RelayMessage.parseFrom(body);
    runOnEventLoop(() -> dispatcher.messageReceived(from.node(), message));
  }

  private void execute(KeyedExecutor executor, KeyedRequest request, CompletionListener listener) {
    unfinishedExecutions.incrementAndGet();
    executor.execute(
        request,
        result -> {
          runOnEventLoop(() -> listener.completed(result));
          runOnEventLoop(unfinishedExecutions::decrementAndGet);
        });
  }

  private void runOnEventLoop(Runnable task) {
    try {
      eventLoop.execute(() -> runLoggingFailure(task));
    } catch (RejectedExecutionException e) {
      LOG.atDebug().addKeyValue("event", "keys.stopped").log("event after stop");
    }
  }

  private static void runLoggingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.atError().setCause(e).addKeyValue("event", "keys.failed").log("event failed");
    }
  }

  /**
   * Issues a key.
   *
   * @param account the only client account that may use it
   * @return a fresh key
   */
  public IdempotencyKey issue(AccountId account) {
    return issuer.issue(account);
  }

  /**
   * Takes a keyed request from a caller of this router.
   *
   * @param request the request
   * @param listener hears its end, on the service's thread; must not block
   */
  public void dispatch(KeyedRequest request, CompletionListener listener) {
    try {
      eventLoop.execute(() -> runLoggingFailure(() -> dispatcher.dispatch(request, listener)));
    } catch (RejectedExecutionException e) {
      listener.completed(Either.left(KeyProblems.issuerUnreachable()));
    }
  }

  @Override
  public void start() {
    eventLoop.scheduleWithFixedDelay(
        () -> runLoggingFailure(dispatcher::tick),
        TICK_INTERVAL_MILLIS,
        TICK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Starts no execution any more and waits until those under way have ended and were told.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void drain() throws InterruptedException {
    try {
      eventLoop.submit(dispatcher::refuseNewExecutions).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("the key table can't be closed", e);
    }
    while (unfinishedExecutions.get() > 0) {
      TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
    }
  }

  @Override
  public void stop() {
    eventLoop.shutdownNow();
  }
}
