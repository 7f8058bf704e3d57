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

/** Dispatches a router's keyed requests on a single thread. */
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
   * Creates a service and registers it with the transport, which must not have been started.
   *
   * @param self this process
   * @param secret the secret that signs the keys
   * @param transport the connections to peers
   * @param clock the clock of this process
   * @param executor executes requests whose keys this process issued
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
    transport.registerHandler(Topic.RELAY, this::messageReceived);
    transport.addListener(new PeerDownListener());
  }

  /** Forwards lost peer connections to the dispatcher. */
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
      LOG.atDebug()
          .addKeyValue("event", "keys.stopped")
          .log("event dropped because the service has stopped");
    }
  }

  private static void runLoggingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.atError().setCause(e).addKeyValue("event", "keys.failed").log("event handler failed");
    }
  }

  /**
   * Issues a key.
   *
   * @param account the only client account that may use the key
   * @return a new key
   */
  public IdempotencyKey issue(AccountId account) {
    return issuer.issue(account);
  }

  /**
   * Dispatches a keyed request from a caller of this router.
   *
   * @param request the request
   * @param listener receives the result, on the service's thread, or on the calling thread after a
   *     stop; must not block
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
   * Refuses new executions and waits until the running ones have delivered their results.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void drain() throws InterruptedException {
    try {
      eventLoop.submit(dispatcher::refuseNewExecutions).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("failed to refuse new executions", e);
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
