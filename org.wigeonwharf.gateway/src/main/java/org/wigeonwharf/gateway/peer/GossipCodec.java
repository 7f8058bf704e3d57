package org.wigeonwharf.gateway.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.gateway.peer.wire.PromptReadNews;
import org.wigeonwharf.gateway.peer.wire.RouterNews;
import org.wigeonwharf.gateway.peer.wire.ServerWorkNews;
import org.wigeonwharf.gateway.peer.wire.SignedNews;
import org.wigeonwharf.gateway.placement.PromptPart;
import org.wigeonwharf.gateway.placement.ServerWork;
import org.wigeonwharf.peer.FleetSecret;

/** Encodes the state of this router as signed datagrams and decodes the datagrams of its peers. */
final class GossipCodec {
  /** Factor from latency sensitivities to the integers on the wire, which are in thousandths. */
  private static final double SENSITIVITY_SCALE = 1_000;

  private final FleetSecret secret;

  GossipCodec(FleetSecret secret) {
    this.secret = secret;
  }

  byte[] encode(RouterNews state) {
    byte[] bytes = state.toByteArray();
    return SignedNews.newBuilder()
        .setNews(ByteString.copyFrom(bytes))
        .setSignature(ByteString.copyFrom(secret.sign(bytes)))
        .build()
        .toByteArray();
  }

  /**
   * Decodes a datagram.
   *
   * @param datagram the received bytes
   * @return the state of the sender
   * @throws InvalidProtocolBufferException if it is malformed or not signed with the fleet's secret
   */
  RouterNews decode(byte[] datagram) throws InvalidProtocolBufferException {
    SignedNews signed = SignedNews.parseFrom(datagram);
    byte[] bytes = signed.getNews().toByteArray();
    if (!secret.verify(signed.getSignature().toByteArray(), bytes)) {
      throw new InvalidProtocolBufferException("signature does not match");
    }
    return RouterNews.parseFrom(bytes);
  }

  // The wire names tightness and memory_tokens stand for latency sensitivity and KV cache tokens.
  static ServerWorkNews encodeWork(String server, ServerWork work) {
    return ServerWorkNews.newBuilder()
        .setServer(server)
        .setRunning(work.running())
        .setTightness((int) Math.round(work.latencySensitivity() * SENSITIVITY_SCALE))
        .setPrefillTokens(work.prefillTokens())
        .setMemoryTokens(work.kvCacheTokens())
        .build();
  }

  // Despite its name, PromptReadNews lists prompt parts that were sent to an engine.
  static PromptReadNews encodeSends(String server, List<PromptPart> parts) {
    PromptReadNews.Builder b = PromptReadNews.newBuilder().setServer(server);
    parts.forEach(p -> b.addParts(p.id()).addTokens(p.tokens()));
    return b.build();
  }

  static Map<String, List<PromptPart>> decodeSends(List<PromptReadNews> reads) {
    Map<String, List<PromptPart>> sends = new HashMap<>();
    for (PromptReadNews r : reads) {
      List<PromptPart> parts = sends.computeIfAbsent(r.getServer(), s -> new ArrayList<>());
      for (int i = 0; i < Math.min(r.getPartsCount(), r.getTokensCount()); i++) {
        parts.add(new PromptPart(r.getParts(i), Math.max(0, r.getTokens(i))));
      }
    }
    return sends;
  }

  static Map<String, ServerWork> decodeWork(List<ServerWorkNews> news) {
    Map<String, ServerWork> work = new HashMap<>();
    for (ServerWorkNews w : news) {
      work.put(
          w.getServer(),
          new ServerWork(
              Math.max(0, w.getRunning()),
              Math.max(0, w.getTightness()) / SENSITIVITY_SCALE,
              Math.max(0, w.getPrefillTokens()),
              Math.max(0, w.getMemoryTokens())));
    }
    return work;
  }
}
