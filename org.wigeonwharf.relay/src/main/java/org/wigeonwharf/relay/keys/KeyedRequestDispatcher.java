package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.wire.ForwardMessage;
import org.wigeonwharf.relay.wire.RelayMessage;

/**
 * Dispatches each keyed request to the process that issued its key; no other process executes it.
 *
 * <p>Because each key has a single executor, no failure detector, common clock or consensus is
 * needed: a router that is not the issuer only forwards the request. Not thread-safe.
 */
public final class KeyedRequestDispatcher {
  private final KeyIssuer issuer;
  private final UsedKeyTable usedKeys;
  private final OutgoingForwards outgoing;
  private final IncomingForwards incoming;
  private final KeyedExecutor executor;

  /**
   * Creates the dispatcher of one process.
   *
   * @param issuer the issuer of this process
   * @param limits the limits of the table of used keys
   * @param clock the clock of this process
   * @param sender sends messages to peers
   * @param executor executes requests whose keys this process issued; reports each result on the
   *     thread that uses this object
   */
  public KeyedRequestDispatcher(
      KeyIssuer issuer, KeyLimits limits, Clock clock, RelaySender sender, KeyedExecutor executor) {
    this.issuer = issuer;
    this.usedKeys = new UsedKeyTable(issuer, limits);
    this.outgoing = new OutgoingForwards(clock, sender);
    this.incoming = new IncomingForwards(sender);
    this.executor = executor;
  }

  /**
   * Dispatches a request from a caller of this router.
   *
   * @param request the request
   * @param listener receives the result exactly once
   */
  public void dispatch(KeyedRequest request, CompletionListener listener) {
    boolean own = issuer.isOwn(request.key());
    if (!issuer.isAuthentic(request.key(), request.account())) {
      listener.completed(Either.left(KeyProblems.notIssued(own)));
    } else if (own) {
      execute(request, listener);
    } else {
      outgoing.forward(request, listener);
    }
  }

  private void execute(KeyedRequest request, CompletionListener listener) {
    if (usedKeys.tryBegin(request, listener)) {
      executor.execute(request, result -> usedKeys.complete(request.key(), result));
    }
  }

  /**
   * Handles a message from a peer.
   *
   * @param from the authenticated sender
   * @param message the message; an unknown kind is ignored
   */
  public void messageReceived(NodeId from, RelayMessage message) {
    switch (message.getKindCase()) {
      case FORWARD -> forwardReceived(from, message.getForward());
      case END -> outgoing.endReceived(from, message.getEnd());
      case STILL_RUNNING -> outgoing.stillRunningReceived(from, message.getStillRunning());
      default -> {}
    }
  }

  private void forwardReceived(NodeId from, ForwardMessage message) {
    if (!incoming.tryAdd(from, message.getNumber(), message.getBody().size())) {
      return;
    }
    CompletionListener reply = result -> incoming.complete(from, message.getNumber(), result);
    RelayCodec.readRequest(message)
        .peekLeft(p -> reply.completed(Either.left(KeyProblems.notIssued(false))))
        .peek(r -> executeForwarded(r, reply));
  }

  private void executeForwarded(KeyedRequest request, CompletionListener reply) {
    if (issuer.isOwn(request.key()) && issuer.isAuthentic(request.key(), request.account())) {
      execute(request, reply);
    } else {
      reply.completed(Either.left(KeyProblems.notIssued(issuer.isOwn(request.key()))));
    }
  }

  /**
   * Handles the loss of the last connection to a peer.
   *
   * @param peer the peer
   */
  public void peerDown(NodeId peer) {
    outgoing.peerDown(peer);
    incoming.peerDown(peer);
  }

  /** Expires keys, sends heartbeats and times out forwards; called several times a second. */
  public void tick() {
    usedKeys.tick();
    incoming.tick();
    outgoing.tick();
  }

  /** Permanently refuses to start new executions. */
  public void refuseNewExecutions() {
    usedKeys.refuseNewExecutions();
  }

  /**
   * Returns the number of executions in this process without a result.
   *
   * @return a count
   */
  public int running() {
    return usedKeys.running();
  }

  /**
   * Returns the number of used keys of this process in the table.
   *
   * @return a count
   */
  public int usedKeyCount() {
    return usedKeys.size();
  }

  /**
   * Returns the number of requests that wait for a result from another router.
   *
   * @return a count
   */
  public int awaitingIssuer() {
    return outgoing.size();
  }
}
