package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeAttempt;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.ServerWork;
import org.wigeonwharf.gateway.route.Account;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.route.ServiceShare;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.model.Clock;

/**
 * Simulates servers with few slots, several routers that know each other's work late, and callers
 * that come back once after a refusal, in virtual time.
 */
final class OverloadSimulation {
  static final int SLOTS = 6;
  static final long OBJECTIVE_MILLIS = 400;
  static final long TIMEOUT_MILLIS = 2_000;

  /** Fraction of its remaining time up to which a caller observes Retry-After. */
  private static final double MAX_RETRY_AFTER_FRACTION = 1 / 3.0;

  private static final int PRIORITIES = 3;
  private static final int ACCOUNTS = 6;
  private static final String WORK = "work";

  final VirtualTimers timers = new VirtualTimers();
  final List<ExchangeFixture> routers = new ArrayList<>();
  final List<Call> calls = new ArrayList<>();
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Random random;
  private long number;
  private int overtakings;

  /** A caller's request with its return after a refusal. */
  static final class Call {
    final int priority;
    final String account;
    final long workMillis;
    final long begunAt;
    long answeredAt = -1;
    long firstRefusedAfterMillis = -1;
    boolean returned;

    Call(int priority, String account, long workMillis, long begunAt) {
      this.priority = priority;
      this.account = account;
      this.workMillis = workMillis;
      this.begunAt = begunAt;
    }

    boolean isServed() {
      return answeredAt >= 0;
    }

    boolean isOnTime() {
      return isServed() && answeredAt - begunAt <= OBJECTIVE_MILLIS * Clock.NANOS_PER_MILLI;
    }
  }

  /** A server that serves the most urgent of its waiting requests first. */
  private final class Server {
    private final PriorityQueue<Job> waiting =
        new PriorityQueue<>(
            Comparator.comparingInt((Job j) -> j.priority).thenComparingLong(j -> j.number));
    private int running;
    private boolean lost;

    void accept(Job j) {
      if (lost) {
        after(1, () -> j.attempt.listener.onUnreachable("refused", true));
        return;
      }
      waiting.add(j);
      serveNext();
    }

    private void serveNext() {
      while (running < SLOTS && !waiting.isEmpty()) {
        Job j = waiting.remove();
        if (!j.attempt.cancelled) {
          running++;
          after(j.workMillis, () -> end(j));
        }
      }
    }

    private void end(Job j) {
      running--;
      if (!j.attempt.cancelled && !lost) {
        j.attempt.respond(200, "body", TestProtocol.SIGNED);
      }
      serveNext();
    }
  }

  private record Job(FakeAttempt attempt, int priority, long workMillis, long number) {}

  OverloadSimulation(int routerCount, int serverCount, long factAgeMillis, long seed) {
    random = new Random(seed);
    for (int i = 0; i < routerCount; i++) {
      ExchangeFixture router = new ExchangeFixture(timers);
      router.routers = routerCount;
      router.routes(table());
      router.onAttempt =
          a -> {
            recordOvertaking(router, a);
            accept(a);
          };
      routers.add(router);
    }
    for (int i = 1; i <= serverCount; i++) {
      BackendServer s = ExchangeFixture.server("s" + i, false);
      servers.put(s.id(), new Server());
      routers.forEach(r -> r.directory.put(s));
    }
    reportWork(factAgeMillis);
  }

  private static RouteTable table() {
    List<Route> routes = new ArrayList<>();
    for (int p = 0; p < PRIORITIES; p++) {
      routes.add(
          new Route(
              "p" + p,
              "host",
              "/p" + p + "/",
              RequestKind.IDEMPOTENT,
              TIMEOUT_MILLIS,
              OBJECTIVE_MILLIS,
              0,
              p,
              List.of(new ServiceShare(ExchangeFixture.SERVICE, 1)),
              2,
              false,
              AllowedRegions.ALL));
    }
    Map<String, Account> accounts = new HashMap<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      accounts.put("a" + i, new Account("a" + i, OptionalInt.empty(), AllowedRegions.ALL));
    }
    return new RouteTable(
        1,
        routes,
        List.of(new ServiceSpec(ExchangeFixture.SERVICE, 100, null)),
        CallerLimits.DEFAULT,
        accounts);
  }

  /** Lets each router know the work of the others at intervals, as it was one interval before. */
  private void reportWork(long intervalMillis) {
    List<Map<String, ServerWork>> works =
        routers.stream().map(r -> r.inFlight.localWork()).toList();
    after(
        intervalMillis,
        () -> {
          for (int i = 0; i < routers.size(); i++) {
            Map<String, ServerWork> others = new HashMap<>();
            for (int k = 0; k < routers.size(); k++) {
              if (k != i) {
                works.get(k).forEach((s, w) -> others.merge(s, w, ServerWork::plus));
              }
            }
            routers.get(i).inFlight.replaceReport("others", others, timers.nanos());
          }
          reportWork(intervalMillis);
        });
  }

  void after(long millis, Runnable action) {
    timers.schedule(millis * Clock.NANOS_PER_MILLI, action);
  }

  /** Counts a send while a request that is not less urgent has found no room at that router. */
  private void recordOvertaking(ExchangeFixture router, FakeAttempt a) {
    int priority = a.request.headers().getInt(TestProtocol.PRIORITY);
    Demand d =
        new Demand(
            ExchangeFixture.SERVICE, priority, List.of(), 0, 0, 0, 0, null, AllowedRegions.ALL);
    if (router.exchanges.held().precede(d)) {
      overtakings++;
    }
  }

  /** Returns the number of requests that were sent before others that are not less urgent. */
  int overtakings() {
    return overtakings;
  }

  private void accept(FakeAttempt a) {
    HttpHeaders h = a.request.headers();
    Server s = servers.get(a.server.id());
    s.accept(new Job(a, h.getInt(TestProtocol.PRIORITY), h.getInt(WORK), number++));
  }

  /** Makes a server lose all its requests and refuse connections. */
  void lose(String id) {
    Server s = servers.get(id);
    s.lost = true;
    List<FakeAttempt> open = new ArrayList<>();
    routers.forEach(r -> open.addAll(r.attempts));
    s.waiting.clear();
    open.stream()
        .filter(a -> a.server.id().equals(id) && !a.cancelled)
        .forEach(a -> a.listener.onConnectionLost("reset"));
    routers.forEach(r -> r.directory.withdraw(id, timers.nanos()));
  }

  /** Sends requests at random times, on average at the given rate. */
  void load(double perSecond, int priority, String account, long workMillis, long forMillis) {
    long at = 0;
    while (true) {
      at += Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
      if (at >= forMillis) {
        return;
      }
      after(at, () -> call(priority, account, workMillis));
    }
  }

  private void call(int priority, String account, long workMillis) {
    Call c = new Call(priority, account, workMillis, timers.nanos());
    calls.add(c);
    attempt(c, random.nextInt(routers.size()));
  }

  private void attempt(Call c, int router) {
    long remaining = remainingMillis(c);
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(TestProtocol.ID, "1").set(TestProtocol.KEY, c.account).set(WORK, c.workMillis);
    h.set(TestProtocol.TIMEOUT, remaining);
    FakeCaller caller =
        new FakeCaller() {
          @Override
          public void endResponse() {
            super.endResponse();
            onResponse(c, this, router);
          }
        };
    CallerRequest request =
        new CallerRequest(
            HttpMethod.POST, "/p" + c.priority + "/x", h, new byte[0], "host:80", timers.nanos());
    routers.get(router).exchanges.begin(request, caller);
  }

  private long remainingMillis(Call c) {
    return TIMEOUT_MILLIS - (timers.nanos() - c.begunAt) / Clock.NANOS_PER_MILLI;
  }

  private void onResponse(Call c, FakeCaller caller, int router) {
    if (caller.status == 200) {
      c.answeredAt = timers.nanos();
    } else if (caller.status == 503 && !c.returned) {
      c.firstRefusedAfterMillis = (timers.nanos() - c.begunAt) / Clock.NANOS_PER_MILLI;
      c.returned = true;
      double millis = 1_000 * Double.parseDouble(caller.headers.get("retry-after", "0"));
      double observed = Math.min(millis, MAX_RETRY_AFTER_FRACTION * remainingMillis(c));
      int next = (router + 1 + random.nextInt(Math.max(1, routers.size() - 1))) % routers.size();
      after(Math.round(observed), () -> returnTo(c, next));
    }
  }

  private void returnTo(Call c, int router) {
    if (remainingMillis(c) > 0) {
      attempt(c, router);
    }
  }

  /** Returns the share of some calls that were served. */
  double served(Predicate<Call> of) {
    return share(of, Call::isServed);
  }

  /** Returns the share of some calls that have a property. */
  double share(Predicate<Call> of, Predicate<Call> property) {
    List<Call> all = calls.stream().filter(of).toList();
    return all.stream().filter(property).count() / (double) all.size();
  }

  /** Returns a quantile of the time in ms until the first refusal of the calls refused. */
  long refusalMillis(double quantile) {
    List<Long> times =
        calls.stream()
            .filter(c -> c.returned)
            .map(c -> c.firstRefusedAfterMillis)
            .sorted()
            .toList();
    return times.isEmpty() ? 0 : times.get((int) (quantile * (times.size() - 1)));
  }
}
