package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.Problem;

/** RemoteArrivals are the requests that other routers passed on to this one and wait for. */
final class RemoteArrivals {
  /** Most requests of one router that may wait. */
  static final int MAX_PER_PEER = 10_000;

  private final RelaySender sender;
  private final Map<NodeId, Set<Long>> waiting = new LinkedHashMap<>();

  RemoteArrivals(RelaySender sender) {
    this.sender = sender;
  }

  /** Notes an arrival; false for a duplicate of a waiting one, or one too many. */
  boolean add(NodeId from, long number) {
    Set<Long> numbers = waiting.computeIfAbsent(from, n -> new LinkedHashSet<>());
    return numbers.size() < MAX_PER_PEER && numbers.add(number);
  }

  void ended(NodeId from, long number, Either<Problem, KeyedAnswer> end) {
    Set<Long> numbers = waiting.get(from);
    if (numbers != null && numbers.remove(number) && numbers.isEmpty()) {
      waiting.remove(from);
    }
    sender.send(from, RelayCodec.end(number, end));
  }

  void peerDown(NodeId peer) {
    waiting.remove(peer);
  }

  /** Tells the routers that wait that this process is alive. */
  void tick() {
    waiting.forEach((peer, numbers) -> sender.send(peer, RelayCodec.stillRunning(numbers)));
  }
}
