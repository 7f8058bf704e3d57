package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.Problem;

/** RemoteArrivals are the requests that other routers passed on to this one and wait for. */
final class IncomingForwards {
  /** Most requests of one router that may wait. */
  static final int MAX_PER_PEER = 10_000;

  /** Most bytes of bodies of all that wait. */
  static final long MAX_TOTAL_BODY_BYTES = 64L * 1024 * 1024;

  private final RelaySender sender;
  private final Map<NodeId, Map<Long, Integer>> bodyBytesByPeer = new LinkedHashMap<>();
  private long totalBodyBytes;

  IncomingForwards(RelaySender sender) {
    this.sender = sender;
  }

  /** Notes an arrival with a body; false for a duplicate of a waiting one, or one too many. */
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

  /** Tells the routers that wait that this process is alive. */
  void tick() {
    bodyBytesByPeer.values().removeIf(Map::isEmpty);
    bodyBytesByPeer.forEach(
        (p, bodyBytesByNumber) ->
            sender.send(p, RelayCodec.stillRunningMessage(bodyBytesByNumber.keySet())));
  }
}
