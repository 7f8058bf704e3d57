package org.wigeonwharf.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.placement.PromptPart;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

class PeerBoardTest {
  private static final Demand REQUEST = new Demand("s", 0, List.of(), 1_000, 0, 100, 200);
  private static final InetSocketAddress SEED = address(1);

  private final Map<InetSocketAddress, Node> nodes = new HashMap<>();
  private final Random random = new Random(7);
  private double loss;
  private boolean cut;
  private long now = Clock.NANOS_PER_SECOND;
  private long messages;

  /** A Node is one router on the test's network. */
  private final class Node {
    private final InFlightTracker ledger = new InFlightTracker(1_500 * Clock.NANOS_PER_MILLI);
    private final PrefixCacheIndex prompts = new PrefixCacheIndex();
    private final List<Long> hints = new ArrayList<>();
    private final PeerBoard board;
    private final String domain;
    private long version = 1;

    Node(int number, String domain, String secret) {
      this.domain = domain;
      board =
          new PeerBoard(
              new NodeId("vm" + number, number),
              new FailureDomain(domain),
              address(number),
              List.of(SEED),
              ledger,
              prompts,
              new FleetSecret(secret),
              () -> now,
              new Random(number),
              this::send,
              () -> version,
              hints::add);
      nodes.put(address(number), this);
    }

    private void send(InetSocketAddress to, byte[] bytes) {
      messages++;
      Node receiver = nodes.get(to);
      boolean blocked = cut && receiver != null && !receiver.domain.equals(domain);
      if (receiver != null && !blocked && random.nextDouble() >= loss) {
        receiver.board.receive(bytes);
      }
    }
  }

  private static InetSocketAddress address(int number) {
    return new InetSocketAddress("127.0.0.1", 7_000 + number);
  }

  private Node node(int number, String domain) {
    return new Node(number, domain, "secret-of-this-fleet");
  }

  private void pass(long millis) {
    for (long t = 0; t < millis; t += 20) {
      now += 20 * Clock.NANOS_PER_MILLI;
      List.copyOf(nodes.values()).forEach(n -> n.board.tick());
    }
  }

  @Test
  void routersFindEachOtherThroughOneSeed() {
    List<Node> all = new ArrayList<>();
    for (int i = 1; i <= 8; i++) {
      all.add(node(i, "d" + i % 3));
    }
    pass(4_000);
    all.forEach(n -> assertEquals(7, n.board.size()));
  }

  @Test
  void promptsThatEnginesReadAreToldNearAndFar() {
    Node a = node(1, "d");
    final Node b = node(2, "d");
    final Node c = node(3, "e");
    pass(4_000);
    List<PromptPart> prompt = List.of(new PromptPart("shared", 500), new PromptPart("own", 100));
    a.prompts.recordSent("s", prompt, now);
    a.ledger.add("s", REQUEST, 500);
    pass(60);
    assertEquals(500, b.prompts.cachedTokens("s", prompt));
    pass(500);
    assertEquals(500, c.prompts.cachedTokens("s", prompt));
  }

  @Test
  void workShowsAtNeighboursAtOnceAlsoUnderLoss() {
    Node a = node(1, "d");
    final Node b = node(2, "d");
    pass(2_000);
    loss = 0.3;
    final InFlightTracker.Entry t = a.ledger.add("server", REQUEST, 900);
    pass(1_000);
    assertEquals(1, b.ledger.workAt("server", now).running());
    assertEquals(900, b.ledger.workAt("server", now).prefillTokens());
    t.end();
    pass(1_000);
    assertEquals(0, b.ledger.workAt("server", now).running());
  }

  @Test
  void workOfSilentRouterIsForgotten() {
    Node a = node(1, "d");
    final Node b = node(2, "d");
    pass(2_000);
    a.ledger.add("server", REQUEST, 900);
    pass(100);
    nodes.remove(address(1));
    pass(5_000);
    assertEquals(0, b.ledger.workAt("server", now).running());
    assertEquals(0, b.board.size());
  }

  @Test
  void failureDomainThatIsCutOffGoesOnAloneAndFindsTheOthersAgain() {
    final Node a = node(1, "d");
    final Node b = node(2, "e");
    final Node c = node(3, "e");
    pass(4_000);
    a.ledger.add("server", REQUEST, 900);
    b.ledger.add("server", REQUEST, 400);
    pass(500);
    assertEquals(2, c.ledger.workAt("server", now).running());

    cut = true;
    pass(5_000);
    assertEquals(1, c.board.size());
    assertEquals(1, c.ledger.workAt("server", now).running());

    cut = false;
    pass(4_000);
    assertEquals(2, c.board.size());
    assertEquals(2, c.ledger.workAt("server", now).running());
    assertEquals(1_300, c.ledger.workAt("server", now).prefillTokens());
  }

  @Test
  void leavingRouterIsForgottenAtOnce() {
    Node a = node(1, "d");
    final Node b = node(2, "d");
    pass(2_000);
    a.board.leave();
    assertEquals(0, b.board.size());
  }

  @Test
  void newerConfigurationOfAnotherRouterIsNoticed() {
    Node a = node(1, "d");
    final Node b = node(2, "e");
    pass(2_000);
    a.version = 5;
    pass(1_000);
    assertTrue(b.hints.contains(5L));
    assertTrue(a.hints.isEmpty());
  }

  @Test
  void strangersWithoutTheSecretAreNotBelieved() {
    Node a = node(1, "d");
    new Node(2, "d", "some-other-secret");
    pass(3_000);
    assertEquals(0, a.board.size());
  }

  @Test
  void brokenMessagesAreIgnored() {
    Node a = node(1, "d");
    for (int i = 0; i < 200; i++) {
      byte[] bytes = new byte[random.nextInt(80)];
      random.nextBytes(bytes);
      a.board.receive(bytes);
    }
    assertEquals(0, a.board.size());
  }

  @Test
  void idleFleetSendsFewMessages() {
    for (int i = 1; i <= 8; i++) {
      node(i, "d" + i % 3);
    }
    pass(4_000);
    messages = 0;
    pass(10_000);
    double perRouterAndSecond = messages / 8.0 / 10;
    assertTrue(perRouterAndSecond < 25, "messages a second and router: " + perRouterAndSecond);
  }
}
