package org.wigeonwharf.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.EndedServer;
import org.wigeonwharf.gateway.backend.EndedServers;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.feed.PublishedItem;
import org.wigeonwharf.gateway.feed.ReaderState;
import org.wigeonwharf.gateway.feed.StoreChanges;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.peer.wire.EvacuationNews;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.placement.PromptPart;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.quarantine.QuarantineLog;
import org.wigeonwharf.gateway.quarantine.ServerEnd;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.gateway.stream.StreamOrigins;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/**
 * Simulates routers on a network that loses datagrams and can be partitioned. Guards against
 * routers that keep the work of failed peers, miss the work of live ones, or do not reconnect after
 * a partition.
 */
class PeerGossipTest {
  private static final Demand REQUEST =
      new Demand("s", 0, List.of(), 1_000, 0, 100, 200, null, AllowedRegions.ALL);
  private static final InetSocketAddress SEED = address(1);

  private final Map<InetSocketAddress, Node> nodes = new HashMap<>();
  private final Random random = new Random(7);
  private final Queue<Runnable> inTransit = new ArrayDeque<>();
  private boolean delivering;
  private double lossRate;
  private boolean partitioned;
  private long now = Clock.NANOS_PER_SECOND;
  private long messagesSent;
  private int longestMessage;
  private long bytesSent;
  private long lastIncarnation;

  /** A router on the simulated network. */
  private final class Node {
    private final InFlightTracker inFlight = new InFlightTracker(1_500 * Clock.NANOS_PER_MILLI);
    private final PrefixCacheIndex prefixCaches = new PrefixCacheIndex();
    private final PromptQuarantine quarantine =
        new PromptQuarantine(new QuarantineLog(new MetricRegistry()), new Random(7), now);
    private final ServerLimits limits =
        new ServerLimits(new LimitLog(new MetricRegistry()), () -> 0, random, now);
    private final EndedServers endedServers = new EndedServers();
    private final RecordingStoreProgress store = new RecordingStoreProgress();
    private final Evacuations evacuations = new Evacuations();
    private final VersionHistory versionHistory = new VersionHistory(() -> now);
    private final StreamOrigins streamOrigins = new StreamOrigins();
    private final PeerGossip gossip;
    private final String domain;

    Node(int number, String domain, String secret) {
      this.domain = domain;
      gossip =
          new PeerGossip(
              new NodeId("vm" + number, ++lastIncarnation),
              new FailureDomain(domain),
              address(number),
              List.of(SEED),
              inFlight,
              prefixCaches,
              quarantine,
              limits,
              endedServers,
              evacuations,
              streamOrigins,
              versionHistory,
              new FleetSecret(secret),
              () -> now,
              new Random(number),
              this::send,
              store);
      nodes.put(address(number), this);
    }

    private void send(InetSocketAddress destination, byte[] datagram) {
      messagesSent++;
      bytesSent += datagram.length;
      longestMessage = Math.max(longestMessage, datagram.length);
      Node receiver = nodes.get(destination);
      boolean blocked = partitioned && receiver != null && !receiver.domain.equals(domain);
      if (receiver != null && !blocked && random.nextDouble() >= lossRate) {
        inTransit.add(() -> receiver.gossip.receive(datagram));
        deliver();
      }
    }
  }

  /** Delivers datagrams in the order of their sending, also those sent meanwhile. */
  private void deliver() {
    if (!delivering) {
      delivering = true;
      while (!inTransit.isEmpty()) {
        inTransit.remove().run();
      }
      delivering = false;
    }
  }

  private static InetSocketAddress address(int number) {
    return new InetSocketAddress("127.0.0.1", 7_000 + number);
  }

  private Node addNode(int number, String domain) {
    return new Node(number, domain, "secret-of-this-fleet");
  }

  private void advanceMillis(long millis) {
    for (long t = 0; t < millis; t += 20) {
      now += 20 * Clock.NANOS_PER_MILLI;
      List.copyOf(nodes.values()).forEach(n -> n.gossip.tick());
    }
  }

  @Test
  void routersDiscoverEachOtherThroughOneSeed() {
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      all.add(addNode(i, "d" + i % 3));
    }
    advanceMillis(4_000);
    all.forEach(n -> assertEquals(7, n.gossip.peerCount()));
  }

  private static Evacuation evacuation(boolean active, long revision) {
    return new Evacuation(new FailureDomain("x"), active, new StorePosition(1, revision));
  }

  private static boolean isEvacuated(Node n) {
    return n.evacuations.isEvacuated(new FailureDomain("x"));
  }

  // Only one router can read the store.
  @Test
  void evacuationReachesAllRoutersWithinSecondsDespiteLosses() {
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= 12; i++) {
      all.add(addNode(i, "d" + i % 3));
    }
    advanceMillis(4_000);
    lossRate = 0.1;
    all.get(0).evacuations.apply(evacuation(true, 7));
    advanceMillis(3_000);
    all.forEach(n -> assertTrue(isEvacuated(n)));
    all.get(5).evacuations.apply(evacuation(false, 9));
    advanceMillis(3_000);
    all.forEach(n -> assertFalse(isEvacuated(n)));
  }

  @Test
  void routerThatStartsLearnsOfEvacuationFromItsFirstPeer() {
    Node seed = addNode(1, "d");
    seed.evacuations.apply(evacuation(true, 7));
    advanceMillis(3_000);
    Node started = addNode(2, "e");
    advanceMillis(100);
    assertTrue(isEvacuated(started));
  }

  @Test
  void removalThatWasReadOutweighsPeersThatStillKnowTheEvacuation() {
    Node cutFromStore = addNode(1, "d");
    cutFromStore.evacuations.apply(evacuation(true, 7));
    Node started = addNode(2, "d");
    started.evacuations.replaceAll(List.of(), new StorePosition(1, 9));
    advanceMillis(3_000);
    assertFalse(isEvacuated(started));
    started.evacuations.apply(evacuation(true, 12));
    advanceMillis(1_000);
    assertTrue(isEvacuated(cutFromStore));
  }

  @Test
  void malformedEvacuationsAreIgnoredAndTheirNumberIsBounded() {
    final Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    advanceMillis(3_000);
    List<EvacuationNews> malformed =
        List.of(
            EvacuationNews.newBuilder().setActive(true).setRevision(5).build(),
            EvacuationNews.newBuilder().setFailureDomain(" ").setActive(true).build(),
            EvacuationNews.newBuilder().setFailureDomain("x").setActive(true).build(),
            EvacuationNews.newBuilder().setFailureDomain("x").setRevision(-1).build());
    assertEquals(List.of(), GossipCodec.decodeEvacuations(malformed));
    for (int i = 1; i <= 1_000; i++) {
      a.evacuations.apply(
          new Evacuation(new FailureDomain("x" + i), true, new StorePosition(1, i)));
    }
    advanceMillis(1_000);
    assertEquals(32, b.evacuations.active().size());
    assertTrue(b.evacuations.isEvacuated(new FailureDomain("x1000")));
    assertTrue(longestMessage < GossipTransport.MAX_DATAGRAM_BYTES);
  }

  @Test
  void routersThatListenBeforeTheSeedKnowEachOtherOneIntervalAfterItsStart() {
    List<Node> all = new ArrayList<>();
    for (int i = 2; i <= 20; i++) {
      all.add(addNode(i, "d" + i % 3));
      advanceMillis(20);
    }
    advanceMillis(300);
    all.add(addNode(1, "d1"));
    advanceMillis(1_160);
    for (Node a : all) {
      assertTrue(a.gossip.peerCount() >= 6, a.domain + " knows " + a.gossip.peerCount() + " peers");
    }
  }

  @Test
  void routerWithoutReachableSeedContactsItSeldomLater() {
    addNode(2, "d");
    advanceMillis(4_000);
    assertTrue(messagesSent <= 42, "messages: " + messagesSent);
    messagesSent = 0;
    advanceMillis(20_000);
    assertTrue(messagesSent <= 21, "messages: " + messagesSent);
  }

  @Test
  void sentPromptsReachSameAndOtherFailureDomains() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    final Node c = addNode(3, "e");
    advanceMillis(4_000);
    List<PromptPart> prompt = List.of(new PromptPart("shared", 500), new PromptPart("own", 100));
    a.prefixCaches.recordSent("s", prompt, now);
    a.inFlight.add("s", REQUEST, 500);
    advanceMillis(60);
    assertEquals(500, b.prefixCaches.cachedTokens("s", prompt));
    advanceMillis(500);
    assertEquals(500, c.prefixCaches.cachedTokens("s", prompt));
  }

  private void crash(Node observer, String server) {
    observer.quarantine.recordServerEnd(
        new ServerEnd(server, 1, Set.of("bad"), Set.of(), Set.of()), now, now);
  }

  private static boolean isQuarantined(Node node, long now) {
    return node.quarantine.find(List.of("bad"), now) != null;
  }

  @Test
  void crashesSeenByDifferentRoutersQuarantineThePartEverywhere() {
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= 9; i++) {
      all.add(addNode(i, "d" + i % 3));
    }
    advanceMillis(4_000);
    lossRate = 0.2;
    for (int i = 0; i < 4; i++) {
      crash(all.get(2 * i), "s" + i);
      advanceMillis(200);
    }
    advanceMillis(1_000);
    all.forEach(n -> assertTrue(isQuarantined(n, now)));
  }

  @Test
  void restartedRouterLearnsQuarantineWithItsFirstMessages() {
    Node a = addNode(1, "d");
    addNode(2, "e");
    advanceMillis(4_000);
    for (int i = 0; i < 4; i++) {
      crash(a, "s" + i);
      advanceMillis(500);
    }
    assertTrue(isQuarantined(a, now));
    Node restarted = addNode(2, "e");
    advanceMillis(20);
    assertTrue(isQuarantined(restarted, now));
  }

  @Test
  void messagesFitInOneDatagramWhateverCallersAndServersSend() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    final Node c = addNode(3, "e");
    advanceMillis(4_000);
    longestMessage = 0;
    for (int i = 0; i < 2_000; i++) {
      String server = "server-with-a-rather-long-id-" + i;
      String part = "x".repeat(500) + i;
      a.quarantine.recordServerEnd(
          new ServerEnd(server, 1, Set.of(part, part + "a"), Set.of(part + "b"), Set.of()),
          now,
          now);
      a.quarantine.recordProven(List.of(part), now);
      a.limits.recordAnswer(server, 5.0, now);
      a.limits.recordDemand(server, now);
      now += Clock.NANOS_PER_MILLI;
    }
    for (int i = 0; i < 400; i++) {
      String part = "y".repeat(500) + i;
      a.quarantine.recordServerEnd(
          new ServerEnd("large", 1, Set.of(part), Set.of(part + "a"), Set.of()), now, now);
    }
    advanceMillis(1_000);
    assertTrue(longestMessage > 1_000, longestMessage + " bytes");
    assertTrue(longestMessage <= GossipTransport.MAX_DATAGRAM_BYTES, longestMessage + " bytes");
    for (Node n : List.of(b, c)) {
      assertTrue(n.limits.limitedCount(now) > 50, n.limits.limitedCount(now) + " limits");
    }
  }

  private long messagesInNextSecond(int routers, boolean crash) {
    nodes.clear();
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= routers; i++) {
      all.add(addNode(i, "d" + i % 2));
    }
    advanceMillis(4_000);
    long before = messagesSent;
    if (crash) {
      crash(all.get(0), "s");
    }
    advanceMillis(1_000);
    return messagesSent - before;
  }

  @Test
  void crashCausesFewMessages() {
    int routers = 24;
    long usual = messagesInNextSecond(routers, false);
    long caused = messagesInNextSecond(routers, true) - usual;
    // The observer tells its domain and one router of the other, which tells its own.
    assertTrue(caused <= 2 * routers, caused + " messages beside " + usual);
  }

  @Test
  void inFlightWorkReachesPeersOfSameDomainDespiteLoss() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    advanceMillis(2_000);
    lossRate = 0.3;
    final InFlightTracker.Entry entry = a.inFlight.add("server", REQUEST, 900);
    advanceMillis(1_000);
    assertEquals(1, b.inFlight.workAt("server", now).running());
    assertEquals(900, b.inFlight.workAt("server", now).prefillTokens());
    entry.end();
    advanceMillis(1_000);
    assertEquals(0, b.inFlight.workAt("server", now).running());
  }

  @Test
  void workOfUnresponsiveRouterExpires() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    advanceMillis(2_000);
    a.inFlight.add("server", REQUEST, 900);
    advanceMillis(100);
    nodes.remove(address(1));
    advanceMillis(5_000);
    assertEquals(0, b.inFlight.workAt("server", now).running());
    assertEquals(0, b.gossip.peerCount());
  }

  @Test
  void partitionedFailureDomainsReconnect() {
    final Node a = addNode(1, "d");
    final Node b = addNode(2, "e");
    final Node c = addNode(3, "e");
    advanceMillis(4_000);
    a.inFlight.add("server", REQUEST, 900);
    b.inFlight.add("server", REQUEST, 400);
    advanceMillis(500);
    assertEquals(2, c.inFlight.workAt("server", now).running());

    partitioned = true;
    advanceMillis(5_000);
    assertEquals(1, c.gossip.peerCount());
    assertEquals(1, c.inFlight.workAt("server", now).running());

    partitioned = false;
    advanceMillis(4_000);
    assertEquals(2, c.gossip.peerCount());
    assertEquals(2, c.inFlight.workAt("server", now).running());
    assertEquals(1_300, c.inFlight.workAt("server", now).prefillTokens());
  }

  @Test
  void leavingRouterIsRemovedImmediately() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    advanceMillis(2_000);
    a.gossip.announceLeave();
    assertEquals(0, b.gossip.peerCount());
  }

  @Test
  void versionOfThePeersConfigurationReachesAllFailureDomains() {
    final Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    final Node c = addNode(3, "e");
    a.store.configurationVersion = 8;
    advanceMillis(3_000);
    assertTrue(b.store.peerConfigurations.contains(8L));
    assertTrue(c.store.peerConfigurations.contains(8L));
    assertFalse(a.store.peerConfigurations.contains(8L));
  }

  @Test
  void newerStorePositionOfPeerIsReported() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "e");
    advanceMillis(2_000);
    a.store.changePosition = new StorePosition(1, 5);
    advanceMillis(1_000);
    assertTrue(b.store.newerPositions.contains(new StorePosition(1, 5)));
    assertTrue(a.store.newerPositions.isEmpty());
  }

  @Test
  void messagesSignedWithOtherSecretAreIgnored() {
    Node a = addNode(1, "d");
    new Node(2, "d", "some-other-secret");
    advanceMillis(3_000);
    assertEquals(0, a.gossip.peerCount());
  }

  @Test
  void malformedMessagesAreIgnored() {
    Node a = addNode(1, "d");
    for (int i = 0; i < 200; i++) {
      byte[] bytes = new byte[random.nextInt(80)];
      random.nextBytes(bytes);
      a.gossip.receive(bytes);
    }
    assertEquals(0, a.gossip.peerCount());
  }

  @Test
  void idleFleetSendsFewMessages() {
    for (int i = 1; i <= 8; i++) {
      addNode(i, "d" + i % 3);
    }
    advanceMillis(4_000);
    messagesSent = 0;
    advanceMillis(10_000);
    double messagesPerRouterAndSecond = messagesSent / 8.0 / 10;
    assertTrue(
        messagesPerRouterAndSecond < 25,
        "messages per router and second: " + messagesPerRouterAndSecond);
  }

  private static final int LARGE_FLEET = 95;
  private static final int LARGE_FLEET_DOMAINS = 6;

  private List<Node> addLargeFleet(int routers, int domains) {
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= routers; i++) {
      all.add(addNode(i, "d" + i % domains));
    }
    return all;
  }

  private static void assertAllKnown(List<Node> alive, int peers, long atMillis) {
    for (Node n : alive) {
      assertEquals(peers, n.gossip.peerCount(), "after " + atMillis + " ms");
    }
  }

  @Test
  void routersOfLargeFleetNeverLoseEachOther() {
    List<Node> all = addLargeFleet(LARGE_FLEET, LARGE_FLEET_DOMAINS);
    advanceMillis(4_000);
    lossRate = 0.01;
    for (long t = 0; t < 10_000; t += 100) {
      advanceMillis(100);
      assertAllKnown(all, LARGE_FLEET - 1, t);
    }
  }

  @Test
  void workIsVisibleToAllRoutersOfLargeFleetAllTheTime() {
    List<Node> all = addLargeFleet(LARGE_FLEET, LARGE_FLEET_DOMAINS);
    advanceMillis(4_000);
    for (Node n : all) {
      n.inFlight.add("server", REQUEST, 900);
    }
    advanceMillis(1_000);
    for (long t = 0; t < 5_000; t += 100) {
      advanceMillis(100);
      for (Node n : all) {
        assertEquals(LARGE_FLEET, n.inFlight.workAt("server", now).running(), "after " + t + " ms");
      }
    }
  }

  @Test
  void failedRouterOfLargeFleetIsNoticedInAllFailureDomains() {
    final List<Node> all = new ArrayList<>(addLargeFleet(LARGE_FLEET, LARGE_FLEET_DOMAINS));
    advanceMillis(4_000);
    nodes.remove(address(10));
    nodes.remove(address(40));
    all.removeIf(n -> !nodes.containsValue(n));
    advanceMillis(2_600);
    assertAllKnown(all, LARGE_FLEET - 3, 2_600);
  }

  @Test
  void survivorsKeepEachOtherWhenHalfOfTheFleetFails() {
    List<Node> all = new ArrayList<>(addLargeFleet(LARGE_FLEET, LARGE_FLEET_DOMAINS));
    advanceMillis(4_000);
    for (int i = 1; i <= LARGE_FLEET; i++) {
      if (random.nextDouble() < 0.55) {
        nodes.remove(address(i));
      }
    }
    all.removeIf(n -> !nodes.containsValue(n));
    int survivors = all.size();
    for (long t = 0; t < 5_000; t += 100) {
      advanceMillis(100);
      for (Node n : all) {
        assertTrue(n.gossip.peerCount() >= survivors - 1, "a survivor is lost after " + t + " ms");
      }
    }
    assertAllKnown(all, survivors - 1, 5_000);
  }

  @Test
  void messagesPerRouterDoNotGrowWithTheNumberOfFailureDomains() {
    double few = messagesPerRouterUnderLoad(3);
    nodes.clear();
    double many = messagesPerRouterUnderLoad(12);
    assertTrue(many < 1.1 * few, "messages per router and second: " + few + ", then " + many);
  }

  /** Plays 16 routers in each failure domain, each with five requests a second. */
  private double messagesPerRouterUnderLoad(int domains) {
    List<Node> all = addLargeFleet(16 * domains, domains);
    advanceMillis(4_000);
    messagesSent = 0;
    int seconds = 4;
    for (int step = 0; step < seconds * 50; step++) {
      for (Node n : all) {
        if (random.nextInt(10) == 0) {
          n.inFlight.add("server", REQUEST, 900).end();
        }
      }
      advanceMillis(20);
    }
    return messagesSent / (double) all.size() / seconds;
  }

  @Test
  void sentPromptsReachAllRoutersOfLargeFailureDomain() {
    final Node sender = addNode(1, "d");
    List<Node> others = new ArrayList<>();
    for (int i = 2; i <= 16; i++) {
      others.add(addNode(i, "d"));
    }
    advanceMillis(4_000);
    List<List<PromptPart>> prompts = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      prompts.add(List.of(new PromptPart("shared" + i, 500), new PromptPart("own" + i, 100)));
      sender.prefixCaches.recordSent("s", prompts.get(i), now);
      sender.inFlight.add("s", REQUEST, 600);
      advanceMillis(60);
    }
    advanceMillis(1_000);
    for (Node n : others) {
      for (List<PromptPart> prompt : prompts) {
        assertEquals(500, n.prefixCaches.cachedTokens("s", prompt));
      }
    }
  }

  @Test
  void workOfRestartedRouterIsNotCountedTwice() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    final Node c = addNode(3, "e");
    advanceMillis(4_000);
    a.inFlight.add("server", REQUEST, 900);
    advanceMillis(1_000);
    assertEquals(1, c.inFlight.workAt("server", now).running());
    nodes.remove(address(1));
    Node restarted = addNode(1, "d");
    restarted.inFlight.add("server", REQUEST, 400);
    advanceMillis(2_000);
    assertEquals(1, b.inFlight.workAt("server", now).running());
    assertEquals(400, c.inFlight.workAt("server", now).prefillTokens());
  }

  @Test
  void lateMessageOfLostDomainDoesNotKeepItsWork() {
    final Node a = addNode(1, "d");
    final Node b = addNode(2, "e");
    advanceMillis(4_000);
    a.inFlight.add("server", REQUEST, 900);
    advanceMillis(1_000);
    assertEquals(1, b.inFlight.workAt("server", now).running());
    partitioned = true;
    advanceMillis(2_000);
    assertEquals(0, b.inFlight.workAt("server", now).running());
  }

  @Test
  void changesOfTheStoreReachTheFailureDomainUnchangedAndNoOther() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    final Node c = addNode(3, "e");
    advanceMillis(4_000);
    a.store.ownState = new ReaderState(300 * Clock.NANOS_PER_MILLI, -1, 1);
    StoreChanges changes =
        new StoreChanges(
            new StorePosition(1, 7),
            new StorePosition(1, 9),
            true,
            List.of(
                new PublishedItem.Server(
                    new BackendServer(
                        "s1",
                        "model",
                        address(99),
                        new FailureDomain("e"),
                        12,
                        true,
                        42,
                        "v2",
                        2_500,
                        new StorePosition(1, 9))),
                new PublishedItem.ServerRemoved("s2"),
                new PublishedItem.EvacuationChange(evacuation(true, 8)),
                new PublishedItem.EvacuationChange(evacuation(false, 9))));
    a.gossip.passOn(changes);
    a.gossip.passOn(
        new StoreChanges(new StorePosition(1, 9), new StorePosition(1, 10), false, List.of()));
    advanceMillis(400);
    assertEquals(
        List.of(
            changes,
            new StoreChanges(new StorePosition(1, 9), new StorePosition(1, 10), false, List.of())),
        b.store.changes);
    assertTrue(c.store.changes.isEmpty());
    assertEquals(a.store.ownState, b.store.readers.get(0));
    assertTrue(c.store.readers.isEmpty());
  }

  @Test
  void reconnectionOfReadersIsReported() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    advanceMillis(4_000);
    a.store.ownState = new ReaderState(0, 70 * Clock.NANOS_PER_MILLI, 1);
    advanceMillis(800);
    assertEquals(70 * Clock.NANOS_PER_MILLI, b.store.readers.get(0).reconnectAgeNanos());
  }

  @Test
  void endedServersAreKnownInAllFailureDomains() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    final Node c = addNode(3, "e");
    final Node d = addNode(4, "e");
    advanceMillis(4_000);
    a.endedServers.recordEnd(
        new BackendServer("s1", "model", address(99), new FailureDomain("e"), 12, false, 42),
        true,
        now);
    advanceMillis(40);
    assertEquals(1, b.endedServers.recent(now).size());
    advanceMillis(900);
    for (Node n : List.of(c, d)) {
      EndedServer e = n.endedServers.recent(now).get(0);
      assertEquals("s1", e.id());
      assertEquals(42, e.startedAt());
      assertTrue(e.replaced());
    }
  }

  private static BackendServer versioned(String id, String version) {
    return new BackendServer(
        id,
        "model",
        address(99),
        new FailureDomain("e"),
        12,
        false,
        42,
        version,
        0,
        StorePosition.NONE);
  }

  private static void publish(Node n, String... versions) {
    n.versionHistory.startWatching();
    for (String v : versions) {
      n.versionHistory.onPublished(versioned("s-" + v, v));
    }
  }

  private @Nullable String originAt(Node n, String request) {
    return n.streamOrigins.find(request, "model", now);
  }

  @Test
  void streamsBecomeKnownToAllFailureDomainsDespiteLosses() {
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= 12; i++) {
      all.add(addNode(i, "d" + i % 3));
    }
    all.forEach(n -> publish(n, "v1", "v2"));
    advanceMillis(4_000);
    lossRate = 0.1;
    for (int i = 0; i < 400; i++) {
      all.get(i % all.size()).streamOrigins.record("r" + i, "model", "v" + i % 2, now);
      advanceMillis(20);
    }
    advanceMillis(3_000);
    int known = 0;
    for (Node n : all) {
      for (int i = 0; i < 400; i++) {
        String version = originAt(n, "r" + i);
        assertTrue(version == null || version.equals("v" + i % 2));
        known += version == null ? 0 : 1;
      }
    }
    assertTrue(known >= 0.95 * 400 * all.size(), known + " known");
    assertTrue(longestMessage <= GossipTransport.MAX_DATAGRAM_BYTES, longestMessage + " bytes");
  }

  @Test
  void streamsOfLoneRouterReachOtherFailureDomains() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "e");
    publish(a, "v1", "v2");
    publish(b, "v1", "v2");
    advanceMillis(4_000);
    a.streamOrigins.record("r", "model", "v1", now);
    advanceMillis(500);
    assertEquals("v1", originAt(b, "r"));
  }

  // Guards against streams that are unknown to peers because their router stopped as a release
  // began.
  @Test
  void streamsOfRouterThatStopsBeforeAnotherVersionShowsUpAreKnown() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "d");
    final Node c = addNode(3, "e");
    publish(a, "v1");
    publish(b, "v1");
    publish(c, "v1");
    advanceMillis(4_000);
    a.streamOrigins.record("r", "model", "v1", now);
    advanceMillis(500);
    nodes.remove(address(1));
    publish(b, "v2");
    publish(c, "v2");
    advanceMillis(2_000);
    assertEquals("v1", originAt(b, "r"));
    assertEquals("v1", originAt(c, "r"));
    assertTrue(c.versionHistory.hasSeveralVersions("model"));
  }

  // Guards against more than a small part of the bytes between failure domains.
  @Test
  void streamsCostFewBytesBetweenFailureDomains() {
    final Node a = addNode(1, "d");
    addNode(2, "e");
    nodes.values().forEach(n -> publish(n, "v1"));
    advanceMillis(4_000);
    long before = bytesSent;
    advanceMillis(10_000);
    final long idle = bytesSent - before;
    for (int i = 0; i < 100; i++) {
      a.streamOrigins.record(String.format("%016x", i), "model", "v1", now);
      advanceMillis(100);
    }
    // Two messages carry each id of 16 bytes; as much again for lengths and what they share.
    long added = bytesSent - before - 2 * idle;
    assertTrue(added <= 100 * 2 * 2 * 16, added + " bytes");
  }

  @Test
  void routerThatStartsLearnsOfStreamsAndVersionsFromItsPeers() {
    Node a = addNode(1, "d");
    final Node b = addNode(2, "e");
    publish(a, "v1", "v2");
    publish(b, "v1", "v2");
    advanceMillis(20_000);
    for (int i = 0; i < 900; i++) {
      a.streamOrigins.record("a" + i, "model", "v1", now);
      b.streamOrigins.record("b" + i, "model", "v2", now);
    }
    advanceMillis(10_000);
    a.versionHistory.onRemoved(versioned("s-v1", "v1"));
    Node started = addNode(3, "d");
    publish(started, "v2");
    advanceMillis(2_500);
    for (int i = 0; i < 900; i++) {
      assertEquals("v1", originAt(started, "a" + i));
      assertEquals("v2", originAt(started, "b" + i));
    }
    assertTrue(started.versionHistory.hasSeveralVersions("model"));
    assertTrue(started.versionHistory.watchedNanos() >= 30 * Clock.NANOS_PER_SECOND);
  }

  @Test
  void messagesWithStreamsOfLongIdsFitInDatagrams() {
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      all.add(addNode(i, "d" + i % 4));
    }
    all.forEach(n -> publish(n, "v1", "v2"));
    advanceMillis(4_000);
    for (Node n : all) {
      for (int i = 0; i < 1_000; i++) {
        String id = n.domain + "-".repeat(90) + i;
        n.streamOrigins.record(id, "model", "v1", now);
      }
    }
    advanceMillis(3_000);
    addNode(9, "d1");
    advanceMillis(2_000);
    assertTrue(longestMessage <= GossipTransport.MAX_DATAGRAM_BYTES, longestMessage + " bytes");
  }
}
