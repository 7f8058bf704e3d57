package org.wigeonwharf.gateway.http;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.EndedServers;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.eligibility.EligibleServers;
import org.wigeonwharf.gateway.eligibility.EvacuationFilter;
import org.wigeonwharf.gateway.eligibility.RegionFilter;
import org.wigeonwharf.gateway.eligibility.SoftwareVersionFilter;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.limit.DomainShares;
import org.wigeonwharf.gateway.limit.FixedFleet;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.notice.NoticeLog;
import org.wigeonwharf.gateway.notice.ServerNotices;
import org.wigeonwharf.gateway.overload.OverloadControl;
import org.wigeonwharf.gateway.peer.GossipFixture;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PlacementMetrics;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.placement.ServerChooser;
import org.wigeonwharf.gateway.placement.ServerPenalties;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.quarantine.QuarantineLog;
import org.wigeonwharf.gateway.retry.RetryBudget;
import org.wigeonwharf.gateway.route.Account;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.route.ServiceShare;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.gateway.stream.ResumableStreams;
import org.wigeonwharf.gateway.stream.ResumptionResolver;
import org.wigeonwharf.gateway.stream.ServerListCheck;
import org.wigeonwharf.gateway.stream.StreamDurations;
import org.wigeonwharf.gateway.stream.StreamOrigins;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/** Runs exchanges in virtual time; the test simulates callers and backend servers. */
final class ExchangeFixture {
  static final String SERVICE = "service";
  static final long TIMEOUT_MILLIS = 2_000;
  private static final FailureDomain DOMAIN = new FailureDomain("here");
  private static final long STORE_HISTORY_NANOS = 20 * Clock.NANOS_PER_SECOND;
  private static final long WINDOW_NANOS = 10 * Clock.NANOS_PER_SECOND;
  private static final long UNIX_MILLIS_AT_START = 1_700_000_000_000L;

  final EndedServers endedServers = new EndedServers();
  final VirtualTimers timers;
  final InFlightTracker inFlight = new InFlightTracker(1_500 * Clock.NANOS_PER_MILLI);
  final PrefixCacheIndex prefixCaches = new PrefixCacheIndex();
  final ServerDirectory directory = new ServerDirectory(0);
  final RetryBudget budget = new RetryBudget(WINDOW_NANOS, slack -> slack);
  final List<FakeAttempt> attempts = new ArrayList<>();
  final Evacuations evacuations = new Evacuations();
  final RegionFilter regions = new RegionFilter(Map.of());
  final PromptQuarantine quarantine;
  final ServerLimits limits;
  final ServerNotices notices;
  final VersionHistory versionHistory;

  /** Tells at once that all servers are known, unless a test replaces it. */
  ServerListCheck serverListCheck =
      new ServerListCheck() {
        @Override
        public boolean isCompleteUntil(long time) {
          return true;
        }

        @Override
        public void request(long time) {
          throw new AssertionError("not needed");
        }
      };

  private final ServerListCheck serverList =
      new ServerListCheck() {
        @Override
        public boolean isCompleteUntil(long time) {
          return serverListCheck.isCompleteUntil(time);
        }

        @Override
        public void request(long time) {
          serverListCheck.request(time);
        }
      };

  /** Servers that left before the start, as far as the store remembers; null if it can't tell. */
  @Nullable List<BackendServer> removedBeforeStart = List.of();

  final StreamOrigins streamOrigins;
  Consumer<FakeAttempt> onAttempt = a -> {};
  Function<BackendServer, LivenessCheck.Result> liveness = s -> LivenessCheck.Result.ALIVE;
  final ExchangeManager exchanges;
  int routers = 1;
  private RouteTable routes;
  ColdStart coldStart = ColdStart.NONE;

  /** Records a request passed to the connector and lets the test respond to it. */
  static final class FakeAttempt implements Attempt {
    final BackendServer server;
    final OutboundRequest request;
    final AttemptListener listener;
    boolean cancelled;
    boolean paused;

    FakeAttempt(BackendServer server, OutboundRequest request, AttemptListener listener) {
      this.server = server;
      this.request = request;
      this.listener = listener;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public void setPaused(boolean paused) {
      this.paused = paused;
    }

    void respondHead(int status, String... headers) {
      HttpHeaders h = new DefaultHttpHeaders();
      for (String name : headers) {
        h.set(name, "1");
      }
      listener.onHead(status, h);
    }

    void respondData(String text) {
      listener.onData(text.getBytes(StandardCharsets.UTF_8));
    }

    void respond(int status, String body, String... headers) {
      respondHead(status, headers);
      respondData(body);
      listener.onComplete();
    }
  }

  /** Records the response to one request. */
  static class FakeCaller implements CallerChannel {
    int status;
    HttpHeaders headers = new DefaultHttpHeaders();
    final StringBuilder body = new StringBuilder();
    boolean completed;
    boolean aborted;

    @Override
    public void sendResponse(int status, HttpHeaders headers, byte[] bytes) {
      beginResponse(status, headers);
      sendBody(bytes);
      endResponse();
    }

    @Override
    public void beginResponse(int status, HttpHeaders headers) {
      if (this.status != 0) {
        throw new AssertionError("second response to one request");
      }
      this.status = status;
      this.headers = headers;
    }

    @Override
    public void sendBody(byte[] bytes) {
      body.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void endResponse() {
      completed = true;
    }

    @Override
    public void abort() {
      aborted = true;
    }
  }

  ExchangeFixture() {
    this(new VirtualTimers());
  }

  ExchangeFixture(VirtualTimers timers) {
    this.timers = timers;
    long now = timers.nanos();
    quarantine = new PromptQuarantine(new QuarantineLog(new MetricRegistry()), new Random(7), now);
    limits = new ServerLimits(new LimitLog(new MetricRegistry()), () -> 0, new Random(7), now);
    notices =
        new ServerNotices(
            limits,
            new DomainShares(new FixedFleet(), new Random(7)),
            service -> coldStart,
            new NoticeLog(new MetricRegistry()));
    budget.setLimits(0.5, 100);
    versionHistory = new VersionHistory(timers);
    versionHistory.startWatching();
    directory.addListener(versionHistory);
    streamOrigins = new StreamOrigins();
    exchanges =
        new ExchangeManager(
            () -> routes,
            directory,
            new EligibleServers(
                directory,
                List.of(new EvacuationFilter(evacuations), regions, new SoftwareVersionFilter())),
            new ServerChooser(
                DOMAIN,
                inFlight,
                prefixCaches,
                ServerPenalties.DEFAULT,
                notices,
                new Random(7),
                new PlacementMetrics(new MetricRegistry())),
            notices,
            OverloadControl.create(() -> routers, new Random(7)),
            budget,
            new TestProtocol(),
            new ResumableStreams(
                streamOrigins,
                new StreamDurations(),
                new ResumptionResolver(
                    streamOrigins,
                    versionHistory,
                    serverList,
                    this::readRemovals,
                    timers,
                    () -> Instant.ofEpochMilli(unixMillis())),
                timers),
            this::recordAttempt,
            quarantine,
            endedServers,
            (server, callback) -> timers.schedule(0, () -> callback.accept(liveness.apply(server))),
            timers,
            new RequestLog(timers, new MetricRegistry()),
            ExchangeSettings.DEFAULT,
            () -> 0.5);
    routes = table(1);
  }

  private void readRemovals() {
    List<BackendServer> removed = removedBeforeStart;
    if (removed != null) {
      timers.schedule(
          Clock.NANOS_PER_MILLI,
          () -> {
            versionHistory.recordRemoved(removed, STORE_HISTORY_NANOS);
            exchanges.retryHeld();
          });
    }
  }

  private Attempt recordAttempt(BackendServer server, OutboundRequest request, AttemptListener l) {
    FakeAttempt attempt = new FakeAttempt(server, request, l);
    attempts.add(attempt);
    onAttempt.accept(attempt);
    return attempt;
  }

  static RouteTable table(long version) {
    return table(version, kind -> AllowedRegions.ALL, AllowedRegions.ALL, null);
  }

  static RouteTable table(
      long version,
      Function<RequestKind, AllowedRegions> routeRegions,
      AllowedRegions accountRegions,
      @Nullable EngineSpec engine) {
    List<Route> routes = new ArrayList<>();
    for (RequestKind kind : RequestKind.values()) {
      routes.add(
          new Route(
              kind.name(),
              "host",
              "/" + kind.name() + "/",
              kind,
              TIMEOUT_MILLIS,
              200,
              0,
              1,
              List.of(new ServiceShare(SERVICE, 1)),
              2,
              false,
              routeRegions.apply(kind)));
    }
    return new RouteTable(
        version,
        routes,
        List.of(new ServiceSpec(SERVICE, 100, engine)),
        CallerLimits.DEFAULT,
        Map.of("key-1", new Account("account-1", OptionalInt.empty(), accountRegions)));
  }

  /** Returns the wall clock's time in Unix milliseconds. */
  long unixMillis() {
    return UNIX_MILLIS_AT_START + timers.nanos() / Clock.NANOS_PER_MILLI;
  }

  /** Creates this router's end of the gossip protocol. */
  GossipFixture gossip(int number, String domain, GossipFixture.Network network) {
    return new GossipFixture(
        number,
        1,
        domain,
        inFlight,
        prefixCaches,
        quarantine,
        limits,
        streamOrigins,
        versionHistory,
        timers,
        network);
  }

  void routes(RouteTable table) {
    routes = table;
  }

  ExchangeFixture addServers(int n) {
    for (int i = 1; i <= n; i++) {
      directory.put(server("s" + i, false));
    }
    return this;
  }

  static BackendServer server(String id, boolean draining) {
    return new BackendServer(
        id, SERVICE, new InetSocketAddress("127.0.0.1", 9), DOMAIN, 6, draining, 1);
  }

  static BackendServer server(String id, String domain, int port) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
    return new BackendServer(id, SERVICE, address, new FailureDomain(domain), 6, false, 1);
  }

  static BackendServer versioned(String id, String softwareVersion, long startedAt) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9);
    return new BackendServer(
        id, SERVICE, address, DOMAIN, 6, false, startedAt, softwareVersion, 0, StorePosition.NONE);
  }

  static BackendServer draining(BackendServer s) {
    return new BackendServer(
        s.id(),
        s.service(),
        s.address(),
        s.domain(),
        s.slots(),
        true,
        s.startedAt(),
        s.softwareVersion(),
        0,
        StorePosition.NONE);
  }

  Exchange begin(RequestKind kind, FakeCaller caller, String... headers) {
    HttpHeaders h = new DefaultHttpHeaders();
    h.set(TestProtocol.ID, "1").set(TestProtocol.KEY, "key-1");
    for (int i = 0; i < headers.length; i += 2) {
      h.set(headers[i], headers[i + 1]);
    }
    return exchanges.begin(
        new CallerRequest(
            HttpMethod.POST,
            "/" + kind.name() + "/x?q=1",
            h,
            "body".getBytes(StandardCharsets.UTF_8),
            "host:80",
            timers.nanos()),
        caller);
  }

  FakeAttempt attempt(int i) {
    return attempts.get(i);
  }
}
