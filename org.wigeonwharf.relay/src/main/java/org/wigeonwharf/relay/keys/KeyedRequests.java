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
public final class KeyedRequests {
  private final KeyIssuer issuer;
  private final IdempotencyKeys keys;
  private final ForwardedRequests forwarded;
  private final RemoteArrivals remote;
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
  public KeyedRequests(
      KeyIssuer issuer, KeyLimits limits, Clock clock, RelaySender sender, KeyedExecutor executor) {
    this.issuer = issuer;
    this.keys = new IdempotencyKeys(issuer, limits);
    this.forwarded = new ForwardedRequests(clock, sender);
    this.remote = new RemoteArrivals(sender);
    this.executor = executor;
  }

  /**
   * Takes a request from a caller of this router.
   *
   * @param request the request
   * @param listener hears its end exactly once
   */
  public void arrived(KeyedRequest request, EndListener listener) {
    boolean own = issuer.isOwn(request.key());
    if (!issuer.isAuthentic(request.key(), request.account())) {
      listener.ended(Either.left(KeyProblems.forged(own)));
    } else if (own) {
      execute(request, listener);
    } else {
      forwarded.forward(request, listener);
    }
  }

  private void execute(KeyedRequest request, EndListener listener) {
    if (keys.arrived(request, listener)) {
      executor.execute(request, end -> keys.ended(request.key(), end));
    }
  }

  /**
   * Takes a message of a peer.
   *
   * @param from the authenticated sender
   * @param message the message; kinds unknown here are ignored
   */
  public void received(NodeId from, RelayMessage message) {
    switch (message.getKindCase()) {
      case FORWARD -> forwardReceived(from, message.getForward());
      case END -> forwarded.ended(from, message.getEnd());
      case STILL_RUNNING -> forwarded.stillRunning(from, message.getStillRunning());
      default -> {}
    }
  }

  private void forwardReceived(NodeId from, ForwardMessage message) {
    if (!remote.add(from, message.getNumber(), message.getBody().size())) {
      return;
    }
    EndListener back = end -> remote.ended(from, message.getNumber(), end);
    RelayCodec.request(message)
        .peekLeft(p -> back.ended(Either.left(KeyProblems.forged(false))))
        .peek(r -> forwardedArrived(r, back));
  }

  private void forwardedArrived(KeyedRequest request, EndListener back) {
    if (issuer.isOwn(request.key()) && issuer.isAuthentic(request.key(), request.account())) {
      execute(request, back);
    } else {
      back.ended(Either.left(KeyProblems.forged(issuer.isOwn(request.key()))));
    }
  }

  /**
   * The last connection to a peer has closed.
   *
   * @param peer the peer
   */
  public void peerDown(NodeId peer) {
    forwarded.peerDown(peer);
    remote.peerDown(peer);
  }

  /** Does what is due; called several times a second. */
  public void tick() {
    keys.tick();
    remote.tick();
    forwarded.tick();
  }

  /** Starts no execution any more, for good. */
  public void stopExecuting() {
    keys.stopExecuting();
  }

  /**
   * Returns the number of own executions that have not ended.
   *
   * @return a count
   */
  public int running() {
    return keys.running();
  }

  /**
   * Returns the number of own used keys that are remembered.
   *
   * @return a count
   */
  public int remembered() {
    return keys.size();
  }

  /**
   * Returns the number of requests that wait for another router.
   *
   * @return a count
   */
  public int waitingForIssuer() {
    return forwarded.size();
  }
}
