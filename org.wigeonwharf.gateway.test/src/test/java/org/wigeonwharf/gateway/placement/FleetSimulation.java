package org.wigeonwharf.gateway.placement;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.limit.DomainShares;
import org.wigeonwharf.gateway.limit.FixedFleet;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.notice.NoticeLog;
import org.wigeonwharf.gateway.notice.ServerNotices;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Simulates routers that place prompts on batching engines in virtual time, each by its own chooser
 * and by delayed reports of the others' work.
 */
final class FleetSimulation {
  private static final int DOMAINS = 6;
  private static final long DOMAIN_REPORT_MILLIS = 200;
  private static final long SUMMARY_MILLIS = 400;
  private static final double SAME_DOMAIN_DELAY_MILLIS = 1;
  private static final double OTHER_DOMAIN_DELAY_MILLIS = 20;
  private static final long RETRY_MILLIS = 20;
  private static final int EVENT_TOKENS = 10;
  private static final long SAMPLE_MILLIS = 100;
  private static final int SAMPLES_PER_SECOND = 10;
  private static final long WARM_UP_SECONDS = 4;

  /** Engines of one service; rates in tokens per ms, times in ms. */
  record Engines(
      int count,
      int slots,
      long kvCacheTokens,
      double stepMillis,
      double stepMillisPerRequest,
      double prefillTokensPerMilli,
      int chunkTokens,
      double fetchTokensPerMilli,
      double[] speeds) {}

  /** Requests of one kind: their rate per second, prompt and output tokens, objectives in ms. */
  record Kind(
      String name,
      int priority,
      double rate,
      int topics,
      int sharedTokens,
      int ownTokens,
      int outputTokens,
      long objectiveMillis,
      long gapMillis) {}

  private final VirtualTimers timers = new VirtualTimers();
  private final Random random;
  private final Engines spec;
  private final ServiceSpec service;
  private final List<BackendServer> servers = new ArrayList<>();
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<Router> routers = new ArrayList<>();
  private final Map<String, int[]> lateByKind = new TreeMap<>();
  private final List<double[]> loads = new ArrayList<>();
  private long measureFrom;
  private long prefilledTokens;
  private long rereadTokens;
  private long fetchedTokens;
  private long heldRequests;
  private int number;
  private boolean dropsReports;

  /** Creates a fleet; {@code make} makes the chooser of each router. */
  FleetSimulation(Engines spec, int routerCount, long seed, Function<Router, ServerChooser> make) {
    this.random = new Random(seed);
    this.spec = spec;
    this.service =
        new ServiceSpec(
            "model", 100, new EngineSpec(spec.slots, spec.kvCacheTokens, spec.fetchTokensPerMilli));
    for (int i = 0; i < spec.count; i++) {
      String id = "i-" + Integer.toHexString(1000 + i * 7919 % 4001) + i;
      FailureDomain domain = new FailureDomain("d" + i % DOMAINS);
      servers.add(
          new BackendServer(
              id, "model", new InetSocketAddress("127.0.0.1", 9), domain, spec.slots, false, 1));
      engines.put(id, new Engine(domain, spec.speeds[i / DOMAINS % spec.speeds.length]));
    }
    servers.sort(Comparator.comparing(BackendServer::id));
    for (int i = 0; i < routerCount; i++) {
      routers.add(new Router(i, make));
    }
  }

  private void after(double millis, Runnable action) {
    timers.schedule((long) (millis * Clock.NANOS_PER_MILLI), action);
  }

  private static double delay(FailureDomain a, FailureDomain b) {
    return a.equals(b) ? SAME_DOMAIN_DELAY_MILLIS : OTHER_DOMAIN_DELAY_MILLIS;
  }

  /** Cuts all routers off from each other. */
  void dropReports() {
    dropsReports = true;
  }

  /** Lets requests arrive for some seconds and returns what was measured. */
  Result run(List<Kind> kinds, int seconds) {
    measureFrom = timers.nanos() + WARM_UP_SECONDS * Clock.NANOS_PER_SECOND;
    routers.forEach(Router::start);
    kinds.forEach(k -> after(random.nextDouble() * 10, () -> arrive(k)));
    after(WARM_UP_SECONDS * 1_000, this::sample);
    timers.advanceMillis(seconds * 1_000L);
    return result();
  }

  private void arrive(Kind k) {
    after(-StrictMath.log(1 - random.nextDouble()) / k.rate * 1_000, () -> arrive(k));
    int own = number++;
    double size = StrictMath.exp(random.nextGaussian() * 0.7 - 0.25);
    int ownTokens = Math.max(16, (int) (k.ownTokens * size));
    List<PromptPart> parts =
        List.of(
            new PromptPart(k.name + random.nextInt(k.topics), k.sharedTokens),
            new PromptPart("own" + own, ownTokens));
    Demand d =
        new Demand(
            "model",
            k.priority,
            parts,
            k.sharedTokens + ownTokens,
            k.outputTokens,
            k.objectiveMillis,
            k.gapMillis,
            null,
            AllowedRegions.ALL);
    Router router = routers.get(random.nextInt(routers.size()));
    router.dispatch(new Request(d, k, router, timers.nanos()));
  }

  private void sample() {
    after(SAMPLE_MILLIS, this::sample);
    loads.add(servers.stream().mapToDouble(s -> engines.get(s.id()).load()).toArray());
  }

  /** What one run showed; shares from 0 to 1. */
  record Result(
      double variation,
      double overrunShare,
      double waitingShare,
      Map<String, Double> lateShares,
      long prefilledTokens,
      long rereadTokens,
      long fetchedTokens,
      long held) {}

  private Result result() {
    double variation = 0;
    int overrun = 0;
    double waiting = 0;
    double total = 0;
    int seconds = loads.size() / SAMPLES_PER_SECOND;
    for (int i = 0; i < seconds; i++) {
      double[] mean = new double[spec.count];
      for (double[] l : loads.subList(i * SAMPLES_PER_SECOND, (i + 1) * SAMPLES_PER_SECOND)) {
        for (int j = 0; j < spec.count; j++) {
          mean[j] += l[j] / SAMPLES_PER_SECOND;
          waiting += Math.max(0, l[j] - spec.slots);
          total += l[j];
        }
      }
      double average = Arrays.stream(mean).average().orElse(0);
      double variance = Arrays.stream(mean).map(m -> (m - average) * (m - average)).sum();
      variation += Math.sqrt(variance / spec.count) / average / seconds;
      boolean over = Arrays.stream(mean).anyMatch(m -> m > spec.slots);
      boolean idle = Arrays.stream(mean).anyMatch(m -> m < spec.slots / 2.0);
      overrun += over && idle ? 1 : 0;
    }
    Map<String, Double> late = new TreeMap<>();
    lateByKind.forEach((k, n) -> late.put(k, n[0] / (double) n[1]));
    return new Result(
        variation,
        overrun / (double) seconds,
        waiting / total,
        late,
        prefilledTokens,
        rereadTokens,
        fetchedTokens,
        heldRequests);
  }

  /** One router with what it knows. */
  final class Router {
    final FailureDomain domain;
    final InFlightTracker inFlight = new InFlightTracker(Clock.NANOS_PER_SECOND);
    final PrefixCacheIndex prefixCaches = new PrefixCacheIndex();
    final ServerNotices notices;
    final Random random;
    private final int index;
    private final ServerChooser chooser;

    Router(int index, Function<Router, ServerChooser> make) {
      this.index = index;
      this.domain = new FailureDomain("d" + index % DOMAINS);
      this.random = new Random(FleetSimulation.this.random.nextLong());
      MetricRegistry metrics = new MetricRegistry();
      this.notices =
          new ServerNotices(
              new ServerLimits(new LimitLog(metrics), () -> 0, random, timers.nanos()),
              new DomainShares(new FixedFleet(), random),
              service -> ColdStart.NONE,
              new NoticeLog(metrics));
      this.chooser = make.apply(this);
    }

    void start() {
      after(random.nextInt((int) DOMAIN_REPORT_MILLIS), this::reportToDomain);
      if (index < DOMAINS) {
        after(random.nextInt((int) SUMMARY_MILLIS), this::reportToOthers);
      }
    }

    private void reportToDomain() {
      after(DOMAIN_REPORT_MILLIS, this::reportToDomain);
      Map<String, ServerWork> work = inFlight.localWork();
      long maxAge = DOMAIN_REPORT_MILLIS * Clock.NANOS_PER_MILLI;
      Map<String, List<PromptPart>> sends = prefixCaches.recentSends(maxAge, timers.nanos());
      after(SAME_DOMAIN_DELAY_MILLIS, () -> deliver("r" + index, work, sends, true));
    }

    private void reportToOthers() {
      after(SUMMARY_MILLIS, this::reportToOthers);
      List<String> peers = routers.stream().filter(this::isPeer).map(r -> "r" + r.index).toList();
      Map<String, ServerWork> work = inFlight.workWith(peers, timers.nanos());
      long maxAge = SUMMARY_MILLIS * Clock.NANOS_PER_MILLI;
      Map<String, List<PromptPart>> sends = prefixCaches.recentDomainSends(maxAge, timers.nanos());
      after(OTHER_DOMAIN_DELAY_MILLIS, () -> deliver("sum " + domain, work, sends, false));
    }

    private boolean isPeer(Router r) {
      return r != this && r.domain.equals(domain);
    }

    private void deliver(
        String source,
        Map<String, ServerWork> work,
        Map<String, List<PromptPart>> sends,
        boolean toPeers) {
      long now = timers.nanos();
      for (Router r : routers) {
        if (!dropsReports && (toPeers ? isPeer(r) : !r.domain.equals(domain))) {
          r.inFlight.replaceReport(source, work, now);
          if (toPeers) {
            r.prefixCaches.recordDomainSends(sends, now);
          } else {
            r.prefixCaches.recordRemoteSends(sends);
          }
        }
      }
    }

    private void dispatch(Request r) {
      long now = timers.nanos();
      boolean canWait = r.elapsedMillis() < 0.3 * r.demand.objectiveMillis();
      Choice c = chooser.choose(r.demand, service, servers, Set.of(), canWait, !r.held, now);
      if (c == null) {
        heldRequests += r.held ? 0 : 1;
        r.held = true;
        after(RETRY_MILLIS, () -> dispatch(r));
        return;
      }
      r.server = c.candidate().server().id();
      r.source = c.cacheSource();
      r.entry = chooser.recordSent(r.demand, c, now);
      Engine engine = engines.get(r.server);
      after(delay(domain, engine.domain), () -> engine.add(r));
    }

    private void onEvent(Request r, boolean last, int load) {
      long now = timers.nanos();
      if (r.lastEventAt == 0) {
        chooser.recordResponse(r.server, true, now);
        chooser.recordLoadReport(r.server, new LoadReport(load, 0, spec.slots, 1), now);
        r.entry.markPrefilled();
        r.late = r.elapsedMillis() > r.kind.objectiveMillis;
      } else {
        r.late |= (now - r.lastEventAt) / Clock.NANOS_PER_MILLI > r.kind.gapMillis;
      }
      r.lastEventAt = now;
      if (last) {
        r.entry.end();
        chooser.recordEnd(r.server, false, now);
        if (r.arrivedAt >= measureFrom) {
          int[] late = lateByKind.computeIfAbsent(r.kind.name, k -> new int[2]);
          late[0] += r.late ? 1 : 0;
          late[1]++;
        }
      }
    }
  }

  /** One request on its way. */
  private final class Request {
    private final Demand demand;
    private final Kind kind;
    private final Router router;
    private final long arrivedAt;
    private String server = "";
    private BackendServer source;
    private InFlightTracker.Entry entry;
    private boolean held;
    private boolean late;
    private long lastEventAt;
    private int unreadTokens;
    private int generated;

    Request(Demand demand, Kind kind, Router router, long arrivedAt) {
      this.demand = demand;
      this.kind = kind;
      this.router = router;
      this.arrivedAt = arrivedAt;
    }

    double elapsedMillis() {
      return (timers.nanos() - arrivedAt) / (double) Clock.NANOS_PER_MILLI;
    }
  }

  /** One engine that runs its requests in steps, with prompts prefilled in chunks between them. */
  private final class Engine {
    private final FailureDomain domain;
    private final double speed;
    private final PrefixCacheEstimate cache = new PrefixCacheEstimate(spec.kvCacheTokens / 2);
    private final List<Request> running = new ArrayList<>();
    private final PriorityQueue<Request> waiting =
        new PriorityQueue<>(
            Comparator.comparingInt((Request r) -> r.demand.priority())
                .thenComparingLong(r -> r.arrivedAt));

    Engine(FailureDomain domain, double speed) {
      this.domain = domain;
      this.speed = speed;
    }

    int load() {
      return running.size() + waiting.size();
    }

    void add(Request r) {
      boolean idle = running.isEmpty();
      waiting.add(r);
      if (idle) {
        step();
      }
    }

    private void admit() {
      while (running.size() < spec.slots && !waiting.isEmpty()) {
        Request r = waiting.poll();
        int cached = cache.cachedTokens(r.demand.parts());
        int elsewhere =
            r.source == null ? 0 : engines.get(r.source.id()).cache.cachedTokens(r.demand.parts());
        int available = Math.max(cached, elsewhere);
        int anywhere =
            engines.values().stream()
                .mapToInt(e -> e.cache.cachedTokens(r.demand.parts()))
                .max()
                .orElse(0);
        cache.recordPrompt(r.demand.parts());
        r.unreadTokens = r.demand.promptTokens() - available;
        if (timers.nanos() >= measureFrom) {
          prefilledTokens += r.unreadTokens;
          rereadTokens += anywhere - available;
          fetchedTokens += available - cached;
        }
        running.add(r);
      }
    }

    private void step() {
      admit();
      if (running.isEmpty()) {
        return;
      }
      int budget = spec.chunkTokens;
      List<Request> progressed = new ArrayList<>();
      for (Request r : running) {
        int read = Math.min(budget, r.unreadTokens);
        r.unreadTokens -= read;
        budget -= read;
        if (r.unreadTokens == 0) {
          progressed.add(r);
        }
      }
      double prefillMillis = (spec.chunkTokens - budget) / spec.prefillTokensPerMilli;
      double millis = spec.stepMillis + spec.stepMillisPerRequest * running.size() + prefillMillis;
      after(millis * speed, () -> endStep(progressed));
    }

    private void endStep(List<Request> progressed) {
      for (Request r : progressed) {
        boolean last = ++r.generated >= r.demand.outputTokens();
        if (last) {
          running.remove(r);
        }
        if (last || r.generated % EVENT_TOKENS == 1) {
          int load = load();
          after(delay(r.router.domain, domain), () -> r.router.onEvent(r, last, load));
        }
      }
      step();
    }
  }
}
