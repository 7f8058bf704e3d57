package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.Problem;

/** RemoteArrivals are the requests that other routers passed on to this one and wait for. */
final class RemoteArrivals {
  /** Most requests of one router that may wait. */
  static final int MAX_PER_PEER = 10_000;

  /** Most bytes of bodies of all that wait. */
  static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

  private final RelaySender sender;
  private final Map<NodeId, Map<Long, Integer>> waiting = new LinkedHashMap<>();
  private long bodyBytes;

  RemoteArrivals(RelaySender sender) {
    this.sender = sender;
  }

  /** Notes an arrival with a body; false for a duplicate of a waiting one, or one too many. */
  boolean add(NodeId from, long number, int bytes) {
    Map<Long, Integer> numbers = waiting.computeIfAbsent(from, n -> new LinkedHashMap<>());
    boolean full = numbers.size() >= MAX_PER_PEER || bodyBytes + bytes > MAX_BODY_BYTES;
    if (full || numbers.containsKey(number)) {
      return false;
    }
    numbers.put(number, bytes);
    bodyBytes += bytes;
    return true;
  }

  void ended(NodeId from, long number, Either<Problem, KeyedAnswer> end) {
    Map<Long, Integer> numbers = waiting.get(from);
    Integer bytes = numbers == null ? null : numbers.remove(number);
    bodyBytes -= bytes == null ? 0 : bytes;
    sender.send(from, RelayCodec.end(number, end));
  }

  void peerDown(NodeId peer) {
    Map<Long, Integer> numbers = waiting.remove(peer);
    if (numbers != null) {
      bodyBytes -= numbers.values().stream().mapToLong(Integer::longValue).sum();
    }
  }

  /** Tells the routers that wait that this process is alive. */
  void tick() {
    waiting.values().removeIf(Map::isEmpty);
    waiting.forEach((p, numbers) -> sender.send(p, RelayCodec.stillRunning(numbers.keySet())));
  }
}
