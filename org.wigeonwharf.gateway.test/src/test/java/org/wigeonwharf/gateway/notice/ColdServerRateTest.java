package org.wigeonwharf.gateway.notice;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.limit.DomainShares;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.peer.GossipFixture;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.quarantine.QuarantineLog;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.gateway.stream.StreamOrigins;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards against cold servers that get more requests from the whole fleet than they tolerate, or
 * far fewer, while routers start together, are cut off from each other and learn of cold servers at
 * different times.
 */
class ColdServerRateTest {
  private static final long STEP_MILLIS = 20;
  private static final double PER_SECOND = 15;
  private static final double MAX_IN_ONE_SECOND = 1.5 * PER_SECOND + 5;
  private static final ColdStart COLD_START = new ColdStart(3, PER_SECOND);
  private static final int COLD_MILLIS = 3_000;

  /** Maximum time in ms until a router has read a new entry. */
  private static final int MAX_READ_MILLIS = 600;

  private static final int MAX_DOMAINS = 6;
  private static final int SERVERS = 6;
  private static final int MAX_WAITING = 20;
  private static final double LOSS_RATE = 0.05;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Node> nodes = new ArrayList<>();
  private final List<List<Long>> received = new ArrayList<>();
  private final Map<Integer, BackendServer> lastEntry = new HashMap<>();
  private int routers;
  private Random random = new Random(7);
  private Cut cut = (a, b) -> false;
  private long now = Clock.NANOS_PER_SECOND;
  private long incarnation;
  private long revision;
  private long lastEvent;

  private record Event(long at, long number, Runnable action) {}

  /** Tells whether two routers can't reach each other. */
  private interface Cut {
    boolean separates(int a, int b);
  }

  /** A router on the simulated network with callers of its own. */
  private final class Node {
    private final int number;
    private final double weight;
    private final double[] waiting = new double[SERVERS];
    private final Map<Integer, BackendServer> servers = new HashMap<>();
    private final GossipFixture gossip;
    private final ServerNotices notices;

    Node(int number, double weight) {
      this.number = number;
      this.weight = weight;
      ServerLimits limits =
          new ServerLimits(new LimitLog(new MetricRegistry()), () -> 0, random, now);
      gossip =
          new GossipFixture(
              number,
              ++incarnation,
              domain(number).value(),
              new InFlightTracker(Clock.NANOS_PER_SECOND),
              new PrefixCacheIndex(),
              new PromptQuarantine(new QuarantineLog(new MetricRegistry()), random, now),
              limits,
              new StreamOrigins(),
              new VersionHistory(() -> now),
              () -> now,
              this::send);
      notices =
          new ServerNotices(
              limits,
              new DomainShares(gossip.fleet(), random),
              service -> COLD_START,
              new NoticeLog(new MetricRegistry()));
    }

    private void send(int destination, byte[] datagram) {
      boolean lost = random.nextDouble() < LOSS_RATE || cut.separates(number, destination);
      if (destination < nodes.size() && !lost) {
        long delayMillis = domain(destination).equals(domain(number)) ? 1 : 20;
        after(delayMillis, () -> nodes.get(destination).gossip.receive(datagram));
      }
    }

    private void read(int server, BackendServer entry) {
      BackendServer known = servers.get(server);
      if (known == null || entry.position().isAfter(known.position())) {
        servers.put(server, entry);
        gossip.fleet().addDomainsOf(servers.values());
        notices.retain(servers.values(), now);
      }
    }

    private void sendRequests(double perSecond) {
      servers.forEach(
          (i, server) -> {
            waiting[i] += perSecond * weight * STEP_MILLIS / 1_000;
            waiting[i] = Math.min(MAX_WAITING, waiting[i]);
            boolean cold = notices.isCold(server, now);
            while (cold && waiting[i] >= 1 && notices.waitMillis(server, now) <= 0) {
              waiting[i]--;
              notices.recordSent(server, now);
              received.get(i).add(now);
            }
          });
    }
  }

  private int domainCount(int routers) {
    return Math.min(MAX_DOMAINS, routers);
  }

  private FailureDomain domain(int number) {
    return new FailureDomain("d" + number % domainCount(routers));
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(now + millis * Clock.NANOS_PER_MILLI, ++lastEvent, action));
  }

  private void addRouters(int count) {
    routers = count;
    for (int i = 0; i < count; i++) {
      nodes.add(new Node(i, weight(i)));
    }
    for (int i = 0; i < SERVERS; i++) {
      received.add(new ArrayList<>());
    }
  }

  /** Returns a router's part of the demand; the largest is three times the smallest. */
  private double weight(int number) {
    return (1 + 2.0 * (number * 7 % routers) / Math.max(1, routers - 1)) / (2.0 * routers);
  }

  private void restart(int number) {
    nodes.set(number, new Node(number, weight(number)));
    for (int i = 0; i < SERVERS; i++) {
      int server = i;
      BackendServer entry = lastEntry.get(server);
      if (entry != null) {
        after(random.nextInt(MAX_READ_MILLIS), () -> nodes.get(number).read(server, entry));
      }
    }
  }

  /** Publishes that a server is cold, which each router reads some time later. */
  private void turnCold(int server, long startedAt) {
    BackendServer entry =
        new BackendServer(
            "s" + server,
            "model",
            new InetSocketAddress("127.0.0.1", 9),
            domain(server % domainCount(routers)),
            32,
            false,
            startedAt,
            "v1",
            COLD_MILLIS,
            new StorePosition(1, ++revision));
    lastEntry.put(server, entry);
    for (int i = 0; i < routers; i++) {
      int number = i;
      after(random.nextInt(MAX_READ_MILLIS), () -> nodes.get(number).read(server, entry));
    }
  }

  private void advanceMillis(long millis, double demandPerSecond) {
    for (long t = 0; t < millis; t += STEP_MILLIS) {
      now += STEP_MILLIS * Clock.NANOS_PER_MILLI;
      while (!events.isEmpty() && events.peek().at - now <= 0) {
        events.remove().action.run();
      }
      nodes.forEach(n -> n.gossip.tick());
      nodes.forEach(n -> n.sendRequests(demandPerSecond));
    }
  }

  private int mostInOneSecond() {
    int most = 0;
    for (List<Long> times : received) {
      int first = 0;
      for (int i = 0; i < times.size(); i++) {
        while (times.get(i) - times.get(first) >= Clock.NANOS_PER_SECOND) {
          first++;
        }
        most = Math.max(most, i - first + 1);
      }
    }
    return most;
  }

  private long totalReceived() {
    return received.stream().mapToLong(List::size).sum();
  }

  private Cut randomCut() {
    int a = random.nextInt(routers);
    int b = random.nextInt(routers);
    return switch (random.nextInt(4)) {
      // One router is cut off from all.
      case 0 -> (x, y) -> x == a || y == a;
      // One failure domain is cut off from all.
      case 1 -> (x, y) -> domain(x).equals(domain(a)) != domain(y).equals(domain(a));
      // Two failure domains can't reach each other.
      case 2 ->
          (x, y) ->
              domain(x).equals(domain(a)) && domain(y).equals(domain(b))
                  || domain(x).equals(domain(b)) && domain(y).equals(domain(a));
      // The fleet falls into two halves along failure domains.
      default -> (x, y) -> x % domainCount(routers) % 2 != y % domainCount(routers) % 2;
    };
  }

  private void disturb() {
    cut = random.nextBoolean() ? randomCut() : (a, b) -> false;
    switch (random.nextInt(5)) {
      case 0 -> restart(random.nextInt(routers));
      case 1 -> {
        for (int i = 0; i < routers; i++) {
          restart(i);
        }
      }
      case 2 -> {
        for (int i = 0; i < routers; i += 3) {
          restart(i);
        }
      }
      default -> {}
    }
  }

  @ParameterizedTest
  @CsvSource({"3,1", "20,4", "20,8", "20,10", "76,15", "90,6"})
  void fleetKeepsToTheRateWhateverRoutersKnow(int count, long seed) {
    random = new Random(seed);
    addRouters(count);
    advanceMillis(14_000, 0);
    for (int round = 0; round < 20; round++) {
      // A whole failure domain or all servers turn cold at once, as new runs or again.
      long startedAt = random.nextBoolean() ? 1 : round + 2;
      int step = 1 + random.nextInt(3);
      for (int i = 0; i < SERVERS; i += step) {
        turnCold(i, startedAt);
      }
      advanceMillis(random.nextInt(1_000), 1_000);
      disturb();
      advanceMillis(1_000 + random.nextInt(3_000), 1_000);
    }
    int most = mostInOneSecond();
    assertTrue(most <= MAX_IN_ONE_SECOND, most + " requests in one second");
    assertTrue(totalReceived() > 20 * PER_SECOND, totalReceived() + " requests in total");
  }

  @ParameterizedTest
  @CsvSource({"1", "3", "20", "90"})
  void allowanceIsUsedInSteadyState(int count) {
    addRouters(count);
    advanceMillis(14_000, 0);
    for (int second = 0; second < 14; second++) {
      if (second == 4) {
        received.forEach(List::clear);
      }
      for (int i = 0; i < SERVERS; i++) {
        turnCold(i, 1);
      }
      advanceMillis(1_000, 4 * PER_SECOND);
    }
    double used = totalReceived() / (10.0 * SERVERS * PER_SECOND);
    int most = mostInOneSecond();
    assertTrue(used >= 2.0 / 3 && used <= 1.1, "used " + used + " of the allowance");
    assertTrue(most <= MAX_IN_ONE_SECOND, most + " requests in one second");
  }
}
