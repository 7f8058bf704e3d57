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
  private final Map<NodeId, Map<Long, Integer>> bodyBytesByPeer = new LinkedHashMap<>();
  private long totalBodyBytes;

  IncomingForwards(RelaySender sender) {
    this.sender = sender;
  }

  /** Adds a pending request; returns false if it is a duplicate or would exceed a limit. */
  boolean tryAdd(NodeId from, long number, int bodyBytes) {
    Map<Long, Integer> bodyBytesByNumber =
        bodyBytesByPeer.computeIfAbsent(from, n -> new LinkedHashMap<>());
    boolean full =
        bodyBytesByNumber.size() >= MAX_PER_PEER
            || totalBodyBytes + bodyBytes > MAX_TOTAL_BODY_BYTES;
    if (full || bodyBytesByNumber.containsKey(number)) {
      return false;
    }
    bodyBytesByNumber.put(number, bodyBytes);
    totalBodyBytes += bodyBytes;
    return true;
  }

  void complete(NodeId from, long number, Either<Problem, KeyedResponse> result) {
    Map<Long, Integer> bodyBytesByNumber = bodyBytesByPeer.get(from);
    Integer bodyBytes = bodyBytesByNumber == null ? null : bodyBytesByNumber.remove(number);
    totalBodyBytes -= bodyBytes == null ? 0 : bodyBytes;
    sender.send(from, RelayCodec.endMessage(number, result));
  }

  void peerDown(NodeId peer) {
    Map<Long, Integer> bodyBytesByNumber = bodyBytesByPeer.remove(peer);
    if (bodyBytesByNumber != null) {
      totalBodyBytes -= bodyBytesByNumber.values().stream().mapToLong(Integer::longValue).sum();
    }
  }

  /** Sends each waiting router the numbers of its pending requests, so that none times out. */
  void tick() {
    bodyBytesByPeer.values().removeIf(Map::isEmpty);
    bodyBytesByPeer.forEach(
        (p, bodyBytesByNumber) ->
            sender.send(p, RelayCodec.stillRunningMessage(bodyBytesByNumber.keySet())));
  }
}
