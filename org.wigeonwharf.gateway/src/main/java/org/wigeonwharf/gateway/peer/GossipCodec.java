package org.wigeonwharf.gateway.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.EndedServer;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.feed.PublishedItem;
import org.wigeonwharf.gateway.feed.ReaderState;
import org.wigeonwharf.gateway.feed.StoreChanges;
import org.wigeonwharf.gateway.limit.NamedLimit;
import org.wigeonwharf.gateway.limit.ServerDemand;
import org.wigeonwharf.gateway.peer.wire.EndedServerNews;
import org.wigeonwharf.gateway.peer.wire.EvacuationNews;
import org.wigeonwharf.gateway.peer.wire.PromptReadNews;
import org.wigeonwharf.gateway.peer.wire.ProvenPartNews;
import org.wigeonwharf.gateway.peer.wire.PublishedServerNews;
import org.wigeonwharf.gateway.peer.wire.QuarantineNews;
import org.wigeonwharf.gateway.peer.wire.QuarantinedPartNews;
import org.wigeonwharf.gateway.peer.wire.RouterNews;
import org.wigeonwharf.gateway.peer.wire.ServerDemandNews;
import org.wigeonwharf.gateway.peer.wire.ServerEndNews;
import org.wigeonwharf.gateway.peer.wire.ServerLimitNews;
import org.wigeonwharf.gateway.peer.wire.ServerWorkNews;
import org.wigeonwharf.gateway.peer.wire.SignedNews;
import org.wigeonwharf.gateway.peer.wire.StoreChangesNews;
import org.wigeonwharf.gateway.peer.wire.StoreItemNews;
import org.wigeonwharf.gateway.peer.wire.StoreReaderNews;
import org.wigeonwharf.gateway.peer.wire.StreamOriginNews;
import org.wigeonwharf.gateway.peer.wire.VersionNews;
import org.wigeonwharf.gateway.placement.PromptPart;
import org.wigeonwharf.gateway.placement.ServerWork;
import org.wigeonwharf.gateway.quarantine.QuarantineState;
import org.wigeonwharf.gateway.quarantine.ServerEnd;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.gateway.stream.StreamOrigin;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.peer.FleetSecret;

/** Encodes the state of this router as signed datagrams and decodes the datagrams of its peers. */
final class GossipCodec {
  /** Factor from latency sensitivities to the integers on the wire, which are in thousandths. */
  private static final double SENSITIVITY_SCALE = 1_000;

  /** Factor from rates per second to the integers on the wire, which are in thousandths. */
  private static final double RATE_SCALE = 1_000;

  private static final int MILLIS_PER_SECOND = 1_000;

  /** Longest time in ms for which a software version may still serve, as a peer says. */
  private static final int MAX_REMAINING_MILLIS = 60_000;

  private final FleetSecret secret;

  private record OriginGroup(String service, String softwareVersion, int seconds) {}

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

  static QuarantineNews encodeQuarantine(QuarantineState state) {
    QuarantineNews.Builder b = QuarantineNews.newBuilder();
    for (QuarantineState.AgedEnd e : state.ends()) {
      b.addEnds(
          ServerEndNews.newBuilder()
              .setServer(e.end().server())
              .setStartedAt(e.end().startedAt())
              .setAgeMillis(toMillis(e.ageNanos()))
              .addAllAnswering(e.end().answering())
              .addAllWaiting(e.end().waiting()));
    }
    state
        .proven()
        .forEach(
            (part, age) ->
                b.addProven(ProvenPartNews.newBuilder().setPart(part).setAgeMillis(toMillis(age))));
    for (QuarantineState.QuarantinedPart p : state.quarantined()) {
      b.addQuarantined(
          QuarantinedPartNews.newBuilder()
              .setPart(p.part())
              .setAgeMillis(toMillis(p.ageNanos()))
              .setRemainingMillis(toMillis(p.remainingNanos()))
              .setStrikes(p.strikes()));
    }
    return b.build();
  }

  static QuarantineState decodeQuarantine(QuarantineNews news) {
    List<QuarantineState.AgedEnd> ends = new ArrayList<>();
    for (ServerEndNews e : news.getEndsList()) {
      ServerEnd end =
          new ServerEnd(
              e.getServer(),
              e.getStartedAt(),
              Set.copyOf(e.getAnsweringList()),
              Set.copyOf(e.getWaitingList()),
              Set.of());
      ends.add(new QuarantineState.AgedEnd(end, toNanos(e.getAgeMillis())));
    }
    Map<String, Long> proven = new HashMap<>();
    news.getProvenList().forEach(p -> proven.put(p.getPart(), toNanos(p.getAgeMillis())));
    List<QuarantineState.QuarantinedPart> quarantined = new ArrayList<>();
    for (QuarantinedPartNews p : news.getQuarantinedList()) {
      quarantined.add(
          new QuarantineState.QuarantinedPart(
              p.getPart(),
              toNanos(p.getAgeMillis()),
              toNanos(p.getRemainingMillis()),
              Math.max(1, p.getStrikes())));
    }
    return new QuarantineState(ends, proven, quarantined);
  }

  static List<ServerLimitNews> encodeLimits(Map<String, NamedLimit> limits) {
    List<ServerLimitNews> news = new ArrayList<>();
    limits.forEach(
        (server, limit) ->
            news.add(
                ServerLimitNews.newBuilder()
                    .setServer(server)
                    .setPerSecond(limit.isLimited() ? toThousandths(limit.perSecond()) : 0)
                    .setUnlimited(!limit.isLimited())
                    .setAgeMillis(toMillis(limit.ageNanos()))
                    .build()));
    return news;
  }

  static Map<String, NamedLimit> decodeLimits(List<ServerLimitNews> news) {
    Map<String, NamedLimit> limits = new HashMap<>();
    for (ServerLimitNews n : news) {
      double perSecond =
          n.getUnlimited() ? NamedLimit.NONE : Math.max(0, n.getPerSecond()) / RATE_SCALE;
      limits.put(n.getServer(), new NamedLimit(perSecond, toNanos(n.getAgeMillis())));
    }
    return limits;
  }

  static List<ServerDemandNews> encodeDemand(Map<String, ServerDemand> demand) {
    List<ServerDemandNews> news = new ArrayList<>();
    demand.forEach(
        (server, d) ->
            news.add(
                ServerDemandNews.newBuilder()
                    .setServer(server)
                    .setWanted(toThousandths(d.wanted()))
                    .setSent(toThousandths(d.sent()))
                    .build()));
    return news;
  }

  static Map<String, ServerDemand> decodeDemand(List<ServerDemandNews> news) {
    Map<String, ServerDemand> demand = new HashMap<>();
    for (ServerDemandNews n : news) {
      double wanted = Math.max(0, n.getWanted()) / RATE_SCALE;
      double sent = Math.max(0, n.getSent()) / RATE_SCALE;
      demand.put(n.getServer(), new ServerDemand(wanted, sent));
    }
    return demand;
  }

  static List<EvacuationNews> encodeEvacuations(List<Evacuation> evacuations) {
    return evacuations.stream().map(GossipCodec::encodeEvacuation).toList();
  }

  private static EvacuationNews encodeEvacuation(Evacuation e) {
    return EvacuationNews.newBuilder()
        .setFailureDomain(e.domain().value())
        .setActive(e.active())
        .setEra(e.position().era())
        .setRevision(e.position().revision())
        .build();
  }

  private static Evacuation decodeEvacuation(EvacuationNews n) {
    return new Evacuation(
        new FailureDomain(n.getFailureDomain()),
        n.getActive(),
        new StorePosition(n.getEra(), n.getRevision()));
  }

  static List<EndedServerNews> encodeEndedServers(List<EndedServer> servers) {
    return servers.stream()
        .map(
            e ->
                EndedServerNews.newBuilder()
                    .setServer(e.id())
                    .setStartedAt(e.startedAt())
                    .setReplaced(e.replaced())
                    .setAgeMillis(toMillis(e.ageNanos()))
                    .build())
        .toList();
  }

  /** Decodes what a peer states of evacuations, without statements that are malformed. */
  static List<Evacuation> decodeEvacuations(List<EvacuationNews> news) {
    return news.stream()
        .filter(n -> !n.getFailureDomain().isBlank() && n.getRevision() > 0)
        .map(GossipCodec::decodeEvacuation)
        .toList();
  }

  static List<EndedServer> decodeEndedServers(List<EndedServerNews> news) {
    return news.stream()
        .map(
            n ->
                new EndedServer(
                    n.getServer(), n.getStartedAt(), n.getReplaced(), toNanos(n.getAgeMillis())))
        .toList();
  }

  static StoreReaderNews encodeReader(ReaderState state) {
    StoreReaderNews.Builder b =
        StoreReaderNews.newBuilder()
            .setContactAgeMillis(toMillis(state.contactAgeNanos()))
            .setEra(state.era());
    if (state.reconnectAgeNanos() >= 0) {
      b.setReconnected(true).setReconnectAgeMillis(toMillis(state.reconnectAgeNanos()));
    }
    return b.build();
  }

  static ReaderState decodeReader(StoreReaderNews news) {
    return new ReaderState(
        toNanos(news.getContactAgeMillis()),
        news.getReconnected() ? toNanos(news.getReconnectAgeMillis()) : -1,
        news.getEra());
  }

  static StoreChangesNews encodeChanges(StoreChanges changes) {
    StoreChangesNews.Builder b =
        StoreChangesNews.newBuilder()
            .setEra(changes.position().era())
            .setAfter(changes.after().revision())
            .setRevision(changes.position().revision())
            .setComplete(changes.complete());
    for (PublishedItem item : changes.items()) {
      if (item instanceof PublishedItem.Server s) {
        b.addItems(StoreItemNews.newBuilder().setServer(encodeServer(s.server())));
      } else if (item instanceof PublishedItem.ServerRemoved r) {
        b.addItems(StoreItemNews.newBuilder().setRemovedServer(r.id()));
      } else if (item instanceof PublishedItem.EvacuationChange e) {
        b.addItems(StoreItemNews.newBuilder().setEvacuation(encodeEvacuation(e.evacuation())));
      } else {
        throw new IllegalArgumentException("not passed on: " + item);
      }
    }
    return b.build();
  }

  static StoreChanges decodeChanges(StoreChangesNews news) {
    StorePosition after = new StorePosition(news.getEra(), news.getAfter());
    StorePosition position = new StorePosition(news.getEra(), news.getRevision());
    List<PublishedItem> items = new ArrayList<>();
    for (StoreItemNews item : news.getItemsList()) {
      switch (item.getItemCase()) {
        case SERVER -> items.add(new PublishedItem.Server(decodeServer(item.getServer())));
        case REMOVED_SERVER -> items.add(new PublishedItem.ServerRemoved(item.getRemovedServer()));
        case EVACUATION ->
            items.add(new PublishedItem.EvacuationChange(decodeEvacuation(item.getEvacuation())));
        default -> {
          // Sent by a later version of the router; it has to be read from the store.
          return new StoreChanges(after, position, false, List.of());
        }
      }
    }
    return new StoreChanges(after, position, news.getComplete(), items);
  }

  /** Encodes streams, grouped by service, software version and age in whole seconds. */
  static List<StreamOriginNews> encodeOrigins(List<StreamOrigin> origins) {
    Map<OriginGroup, StreamOriginNews.Builder> groups = new LinkedHashMap<>();
    for (StreamOrigin o : origins) {
      int seconds = (int) (Math.max(0, o.ageNanos()) / Clock.NANOS_PER_SECOND);
      groups
          .computeIfAbsent(
              new OriginGroup(o.service(), o.softwareVersion(), seconds),
              g ->
                  StreamOriginNews.newBuilder()
                      .setService(g.service())
                      .setSoftwareVersion(g.softwareVersion())
                      .setAgeMillis(g.seconds() * MILLIS_PER_SECOND))
          .addRequests(o.requestId());
    }
    return groups.values().stream().map(StreamOriginNews.Builder::build).toList();
  }

  static List<StreamOrigin> decodeOrigins(List<StreamOriginNews> news) {
    List<StreamOrigin> origins = new ArrayList<>();
    for (StreamOriginNews n : news) {
      long age = toNanos(n.getAgeMillis());
      n.getRequestsList()
          .forEach(
              id -> origins.add(new StreamOrigin(id, n.getService(), n.getSoftwareVersion(), age)));
    }
    return origins;
  }

  static List<VersionNews> encodeVersions(List<VersionHistory.Served> versions) {
    return versions.stream()
        .map(
            v ->
                VersionNews.newBuilder()
                    .setService(v.service())
                    .setSoftwareVersion(v.softwareVersion())
                    .setAgeMillis(toMillis(v.ageNanos()))
                    .setRemainingMillis(toMillis(-v.ageNanos()))
                    .build())
        .toList();
  }

  static List<VersionHistory.Served> decodeVersions(List<VersionNews> news) {
    return news.stream()
        .map(
            n ->
                new VersionHistory.Served(
                    n.getService(),
                    n.getSoftwareVersion(),
                    toNanos(n.getAgeMillis())
                        - toNanos(Math.min(n.getRemainingMillis(), MAX_REMAINING_MILLIS))))
        .toList();
  }

  private static PublishedServerNews encodeServer(BackendServer s) {
    return PublishedServerNews.newBuilder()
        .setId(s.id())
        .setService(s.service())
        .setAddress(Addresses.format(s.address()))
        .setFailureDomain(s.domain().value())
        .setSlots(s.slots())
        .setDraining(s.draining())
        .setStartedAt(s.startedAt())
        .setSoftwareVersion(s.softwareVersion())
        .setColdMillis(s.coldMillis())
        .setEra(s.position().era())
        .setRevision(s.position().revision())
        .build();
  }

  private static BackendServer decodeServer(PublishedServerNews n) {
    return new BackendServer(
        n.getId(),
        n.getService(),
        Addresses.parse(n.getAddress()),
        new FailureDomain(n.getFailureDomain()),
        Math.max(1, n.getSlots()),
        n.getDraining(),
        n.getStartedAt(),
        n.getSoftwareVersion(),
        Math.max(0, n.getColdMillis()),
        new StorePosition(n.getEra(), n.getRevision()));
  }

  private static long toThousandths(double perSecond) {
    return Math.round(perSecond * RATE_SCALE);
  }

  private static int toMillis(long nanos) {
    return (int) Math.min(Integer.MAX_VALUE, Math.max(0, nanos / Clock.NANOS_PER_MILLI));
  }

  private static long toNanos(int millis) {
    return Math.max(0, millis) * Clock.NANOS_PER_MILLI;
  }
}
