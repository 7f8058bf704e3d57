package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.wire.EndMessage;
import org.wigeonwharf.relay.wire.StillRunningMessage;

/**
 * Tracks the keyed requests that this router forwarded to the issuers of their keys.
 *
 * <p>Each request is forwarded once and never executed here. If the issuer is unreachable, times
 * out or disconnects, the caller is told that the request may have run, and a result that the
 * issuer sends later is ignored.
 */
final class OutgoingForwards {
  /** Longest time without a message about a request before its issuer counts as unreachable. */
  static final long ISSUER_TIMEOUT_MILLIS = 2_000;

  /** Maximum number of forwarded requests without a result. */
  static final int MAX_PENDING = 10_000;

  private final Clock clock;
  private final RelaySender sender;
  private final Map<Long, Pending> pending = new HashMap<>();
  private long lastNumber;

  /** A forwarded request that waits for its issuer's result. */
  private static final class Pending {
    final NodeId issuer;
    final CompletionListener listener;
    long lastMessageNanos;

    Pending(NodeId issuer, CompletionListener listener, long nowNanos) {
      this.issuer = issuer;
      this.listener = listener;
      this.lastMessageNanos = nowNanos;
    }
  }

  OutgoingForwards(Clock clock, RelaySender sender) {
    this.clock = clock;
    this.sender = sender;
  }

  void forward(KeyedRequest request, CompletionListener listener) {
    NodeId issuer = request.key().issuer();
    long number = ++lastNumber;
    if (pending.size() >= MAX_PENDING
        || !sender.send(issuer, RelayCodec.forwardMessage(number, request))) {
      listener.completed(Either.left(KeyProblems.issuerUnreachable()));
      return;
    }
    pending.put(number, new Pending(issuer, listener, clock.nanos()));
  }

  void endReceived(NodeId from, EndMessage message) {
    if (find(from, message.getNumber()) != null) {
      Pending p = pending.remove(message.getNumber());
      p.listener.completed(RelayCodec.readEnd(message));
    }
  }

  void stillRunningReceived(NodeId from, StillRunningMessage message) {
    for (long number : message.getNumbersList()) {
      Pending p = find(from, number);
      if (p != null) {
        p.lastMessageNanos = clock.nanos();
      }
    }
  }

  private @Nullable Pending find(NodeId from, long number) {
    Pending p = pending.get(number);
    return p != null && p.issuer.equals(from) ? p : null;
  }

  void peerDown(NodeId peer) {
    failMatching(p -> p.issuer.equals(peer));
  }

  void tick() {
    long cutoffNanos = clock.nanos() - ISSUER_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI;
    failMatching(p -> p.lastMessageNanos - cutoffNanos <= 0);
  }

  private void failMatching(Predicate<Pending> matches) {
    List<Pending> failed = new ArrayList<>(pending.values());
    failed.removeIf(matches.negate());
    pending.values().removeAll(failed);
    failed.forEach(p -> p.listener.completed(Either.left(KeyProblems.issuerUnreachable())));
  }

  int size() {
    return pending.size();
  }
}
