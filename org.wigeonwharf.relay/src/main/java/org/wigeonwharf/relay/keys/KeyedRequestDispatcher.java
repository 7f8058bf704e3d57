package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.wire.ForwardMessage;
import org.wigeonwharf.relay.wire.RelayMessage;

/**
 * KeyedRequests decide where a keyed request is executed: in the process that issued its key, or
 * nowhere.
 *
 * <p>A single executor per key needs no failure detector, no common clock and no agreement: a
 * router that is not the issuer only passes the request on. Not safe for use by several threads.
 */
public final class KeyedRequestDispatcher {
  private final KeyIssuer issuer;
  private final UsedKeyTable usedKeys;
  private final OutgoingForwards outgoing;
  private final IncomingForwards incoming;
  private final KeyedExecutor executor;

  /**
   * Creates the decisions of one process.
   *
   * @param issuer the own process's issuer
   * @param limits bounds of the table of used keys
   * @param clock the process's clock
   * @param sender sends messages to peers
   * @param executor executes requests with own keys; tells their end in the thread that drives this
   *     object
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
   * Takes a request from a caller of this router.
   *
   * @param request the request
   * @param listener hears its end exactly once
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
   * Takes a message of a peer.
   *
   * @param from the authenticated sender
   * @param message the message; kinds unknown here are ignored
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
   * The last connection to a peer has closed.
   *
   * @param peer the peer
   */
  public void peerDown(NodeId peer) {
    outgoing.peerDown(peer);
    incoming.peerDown(peer);
  }

  /** Does what is due; called several times a second. */
  public void tick() {
    usedKeys.tick();
    incoming.tick();
    outgoing.tick();
  }

  /** Starts no execution any more, for good. */
  public void refuseNewExecutions() {
    usedKeys.refuseNewExecutions();
  }

  /**
   * Returns the number of own executions that have not ended.
   *
   * @return a count
   */
  public int running() {
    return usedKeys.running();
  }

  /**
   * Returns the number of own used keys that are remembered.
   *
   * @return a count
   */
  public int usedKeyCount() {
    return usedKeys.size();
  }

  /**
   * Returns the number of requests that wait for another router.
   *
   * @return a count
   */
  public int awaitingIssuer() {
    return outgoing.size();
  }
}
