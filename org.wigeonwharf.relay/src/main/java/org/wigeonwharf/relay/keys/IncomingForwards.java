package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.Problem;

/** Tracks the requests that other routers forwarded to this one and that have no result yet. */
final class IncomingForwards {
  /** Maximum number of pending requests per peer. */
  static final int MAX_PER_PEER = 10_000;

  /** Maximum total size of the bodies of all pending requests. */
  static final long MAX_TOTAL_BODY_BYTES = 64L * 1024 * 1024;

  private final RelaySender sender;

  /** Body sizes in bytes by peer and request number. */
  private final Map<NodeId, Map<Long, Integer>> bodyBytesByPeer = new LinkedHashMap<>();

  private long totalBodyBytes;

  IncomingForwards(RelaySender sender) {
    this.sender = sender;
  }

  /** Adds a request with a body size; returns false for a duplicate or if a limit is exceeded. */
  boolean tryAdd(NodeId from, long number, int bytes) {
    Map<Long, Integer> numbers = bodyBytesByPeer.computeIfAbsent(from, n -> new LinkedHashMap<>());
    boolean full = numbers.size() >= MAX_PER_PEER || totalBodyBytes + bytes > MAX_TOTAL_BODY_BYTES;
    if (full || numbers.containsKey(number)) {
      return false;
    }
    numbers.put(number, bytes);
    totalBodyBytes += bytes;
    return true;
  }

  void complete(NodeId from, long number, Either<Problem, KeyedResponse> result) {
    Map<Long, Integer> numbers = bodyBytesByPeer.get(from);
    Integer bytes = numbers == null ? null : numbers.remove(number);
    totalBodyBytes -= bytes == null ? 0 : bytes;
    sender.send(from, RelayCodec.endMessage(number, result));
  }

  void peerDown(NodeId peer) {
    Map<Long, Integer> numbers = bodyBytesByPeer.remove(peer);
    if (numbers != null) {
      totalBodyBytes -= numbers.values().stream().mapToLong(Integer::longValue).sum();
    }
  }

  /** Sends each waiting router the numbers of its pending requests, so that none times out. */
  void tick() {
    bodyBytesByPeer.values().removeIf(Map::isEmpty);
    bodyBytesByPeer.forEach(
        (p, numbers) -> sender.send(p, RelayCodec.stillRunningMessage(numbers.keySet())));
  }
}
