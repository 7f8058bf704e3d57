package org.wigeonwharf.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.EndedServer;
import org.wigeonwharf.gateway.backend.EndedServers;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.eligibility.EligibleServers;
import org.wigeonwharf.gateway.eligibility.EvacuationFilter;
import org.wigeonwharf.gateway.eligibility.RegionFaults;
import org.wigeonwharf.gateway.eligibility.RegionFilter;
import org.wigeonwharf.gateway.eligibility.SoftwareVersionFilter;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.feed.PositionCheck;
import org.wigeonwharf.gateway.feed.PublishedStore;
import org.wigeonwharf.gateway.feed.StoreChanges;
import org.wigeonwharf.gateway.feed.StoreFeed;
import org.wigeonwharf.gateway.feed.StoreHistory;
import org.wigeonwharf.gateway.http.CallerListener;
import org.wigeonwharf.gateway.http.EventLoopTimers;
import org.wigeonwharf.gateway.http.ExchangeManager;
import org.wigeonwharf.gateway.http.ExchangeProtocol;
import org.wigeonwharf.gateway.http.ExchangeSettings;
import org.wigeonwharf.gateway.http.NettyBackendConnector;
import org.wigeonwharf.gateway.http.NettyLivenessCheck;
import org.wigeonwharf.gateway.http.RequestLog;
import org.wigeonwharf.gateway.http.StatusServer;
import org.wigeonwharf.gateway.limit.DomainShares;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.notice.NoticeLog;
import org.wigeonwharf.gateway.notice.ServerNotices;
import org.wigeonwharf.gateway.overload.OverloadControl;
import org.wigeonwharf.gateway.peer.GossipTransport;
import org.wigeonwharf.gateway.peer.KnownFleet;
import org.wigeonwharf.gateway.peer.PeerGossip;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PlacementMetrics;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.placement.ServerChooser;
import org.wigeonwharf.gateway.placement.ServerPenalties;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.quarantine.QuarantineLog;
import org.wigeonwharf.gateway.retry.FleetShare;
import org.wigeonwharf.gateway.retry.RetryBudget;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.gateway.stream.ResumableStreams;
import org.wigeonwharf.gateway.stream.ResumptionResolver;
import org.wigeonwharf.gateway.stream.StreamDurations;
import org.wigeonwharf.gateway.stream.StreamOrigins;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;

/**
 * Runs one router process, which forwards requests by host and path to the backend servers of a
 * published directory. All its work runs on one event loop, so that decisions need no locks.
 */
public final class Gateway implements Lifecycle {
  /**
   * Time in ms that expired entries stay in use after the store is reachable again: the time in
   * which live servers publish themselves again, plus a margin.
   */
  private static final long RECONNECT_GRACE_MILLIS = 2_000;

  /** Maximum age in ms of a peer's report of in-flight work. */
  private static final long PEER_WORK_MAX_AGE_MILLIS = 1_500;

  /** Time in ms between two checks for entries whose grace period is over. */
  private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 100;

  /**
   * Number of routers in each failure domain that follow the store closely and pass on what they
   * read; two, so that one may fail.
   */
  private static final int FREQUENT_READERS_PER_DOMAIN = 2;

  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  private volatile GatewaySettings settings;
  private final NodeId self;
  private final EventLoopGroup loops;
  private final EventLoop loop;
  private final Clock clock;
  private final ServerDirectory directory;
  private final ServerChooser chooser;
  private final Evacuations evacuations = new Evacuations();
  private final StoreFeed feed;
  private final RetryBudget retryBudget;
  private final PromptQuarantine quarantine;
  private final ServerLimits limits;
  private final KnownFleet fleet;
  private final ServerNotices notices;
  private final RegionFilter regionFilter;
  private final VersionHistory versionHistory;
  private final StoreHistory storeHistory;
  private final PositionCheck positionCheck;
  private final StreamOrigins streamOrigins;
  private final RegionFaults regionFaults;
  private final ExchangeManager exchanges;
  private final CallerListener callers;
  private final GossipTransport gossipTransport;
  private final StatusServer readiness;
  private final StatusServer status;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final StopSequence stopSequence;
  private final EventLoopTimers timers;
  private boolean expiryScheduled;

  /**
   * Creates a gateway that is not started.
   *
   * @param settings the process settings
   * @param self this process
   * @param loops a group of one event loop, owned by the gateway
   * @param store the platform's store
   * @param protocol encodes and decodes HTTP headers
   * @param clock monotonic clock
   * @param wallClock wall clock, to be compared with the start times that servers publish
   * @param random adds jitter to retries and picks the service of split routes
   * @param metrics receives the gateway's metrics
   */
  public Gateway(
      GatewaySettings settings,
      NodeId self,
      EventLoopGroup loops,
      PublishedStore store,
      ExchangeProtocol protocol,
      Clock clock,
      InstantSource wallClock,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.settings = settings;
    this.self = self;
    this.loops = loops;
    this.loop = loops.next();
    this.clock = clock;
    this.directory = new ServerDirectory(RECONNECT_GRACE_MILLIS * Clock.NANOS_PER_MILLI);
    this.limits = new ServerLimits(new LimitLog(metrics), this::peerCount, random, clock.nanos());
    this.fleet = new KnownFleet(self.name(), settings.domain(), this::gossip);
    this.notices =
        new ServerNotices(
            limits, new DomainShares(fleet, random), this::coldStart, new NoticeLog(metrics));
    InFlightTracker inFlight =
        new InFlightTracker(PEER_WORK_MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI);
    PrefixCacheIndex prefixCaches = new PrefixCacheIndex();
    this.chooser =
        new ServerChooser(
            settings.domain(),
            inFlight,
            prefixCaches,
            ServerPenalties.DEFAULT,
            notices,
            random,
            new PlacementMetrics(metrics));
    this.timers = new EventLoopTimers(loop, clock);
    this.feed =
        new StoreFeed(
            store,
            directory,
            evacuations,
            timers,
            random,
            this::isFrequentReader,
            this::onStoreChange,
            this::passOn,
            metrics);
    this.retryBudget =
        new RetryBudget(
            settings.retryWindowMillis() * Clock.NANOS_PER_MILLI,
            new FleetShare(clock, this::peerCount)::of);
    retryBudget.setLimits(settings.retryRatio(), settings.retrySlack());
    this.quarantine = new PromptQuarantine(new QuarantineLog(metrics), random, clock.nanos());
    EndedServers endedServers = new EndedServers();
    endedServers.onPeerReport(this::applyPeerReport);
    this.versionHistory = new VersionHistory(clock);
    directory.addListener(versionHistory);
    this.storeHistory =
        new StoreHistory(
            store,
            feed::position,
            Duration.ofMillis(settings.storeHistoryMillis()),
            timers,
            this::recordRemovedServers,
            metrics);
    directory.onChangesMissed(this::forgetPast);
    this.positionCheck =
        new PositionCheck(store, feed::position, feed::readUpTo, timers, this::retryHeld, metrics);
    this.streamOrigins = new StreamOrigins();
    final ResumableStreams streams =
        new ResumableStreams(
            streamOrigins,
            new StreamDurations(),
            new ResumptionResolver(
                streamOrigins,
                versionHistory,
                positionCheck,
                storeHistory::request,
                clock,
                wallClock),
            clock);
    this.regionFilter = new RegionFilter(settings.regions());
    this.regionFaults = new RegionFaults(() -> regionFilter.regions().values());
    this.exchanges =
        new ExchangeManager(
            feed::routes,
            directory,
            new EligibleServers(
                directory,
                List.of(
                    new EvacuationFilter(evacuations), regionFilter, new SoftwareVersionFilter())),
            chooser,
            notices,
            OverloadControl.create(() -> peerCount() + 1, random),
            retryBudget,
            protocol,
            streams,
            new NettyBackendConnector(loop),
            quarantine,
            endedServers,
            new NettyLivenessCheck(loop),
            timers,
            new RequestLog(clock, metrics),
            ExchangeSettings.DEFAULT,
            random::nextDouble);
    this.callers = new CallerListener(loop, settings.callerAddress(), exchanges, timers);
    this.gossipTransport =
        new GossipTransport(
            loop,
            self,
            settings.domain(),
            settings.peerAddress(),
            settings.seeds(),
            inFlight,
            prefixCaches,
            quarantine,
            limits,
            endedServers,
            evacuations,
            streamOrigins,
            versionHistory,
            settings.secret(),
            clock,
            feed);
    this.stopSequence = new StopSequence(timers, new GracefulStages(), callers::pendingResponses);
    callers.onClose(stopSequence::onCallerDisconnected);
    this.readiness =
        new StatusServer(loop, settings.readyAddress(), Map.of("/readyz", this::renderReadiness));
    MetricsRenderer metricsText = new MetricsRenderer(metrics);
    this.status =
        new StatusServer(
            loop,
            settings.metricsAddress(),
            Map.of(
                "/metrics",
                () -> new StatusServer.Page(true, metricsText.render(gauges())),
                "/dump",
                () -> new StatusServer.Page(true, dump())));
  }

  private long configVersion() {
    RouteTable t = feed.routes();
    return t == null ? 0 : t.version();
  }

  private PeerGossip gossip() {
    return gossipTransport.gossip();
  }

  private int peerCount() {
    return gossip().peerCount();
  }

  private ColdStart coldStart(String service) {
    RouteTable t = feed.routes();
    ServiceSpec spec = t == null ? null : t.service(service);
    return spec == null ? ColdStart.NONE : spec.coldStart();
  }

  private void recordRemovedServers(List<BackendServer> removed, long ageNanos) {
    versionHistory.recordRemoved(removed, ageNanos);
    retryHeld();
  }

  private void forgetPast() {
    versionHistory.recordMissedChanges();
    storeHistory.reset();
  }

  private void retryHeld() {
    exchanges.retryHeld();
  }

  private boolean isFrequentReader() {
    return gossip().rank() < FREQUENT_READERS_PER_DOMAIN;
  }

  private void passOn(StoreChanges changes) {
    gossipTransport.passOn(changes);
  }

  private void onStoreChange() {
    positionCheck.recordRead();
    if (feed.isInitialized()) {
      versionHistory.startWatching();
    }
    scheduleExpiryIfNeeded();
    RouteTable table = feed.routes();
    if (table != null) {
      regionFaults.check(table);
    }
    List<BackendServer> servers = directory.all();
    fleet.addDomainsOf(servers);
    chooser.retainServers(servers.stream().map(BackendServer::id).toList());
    notices.retain(servers, clock.nanos());
    exchanges.retryHeld();
  }

  private void applyPeerReport(EndedServer ended) {
    BackendServer server = directory.find(ended.id());
    if (server == null || server.startedAt() != ended.startedAt()) {
      return;
    }
    if (ended.replaced()) {
      directory.markMisdirected(ended.id());
    } else {
      chooser.recordRefusedElsewhere(ended.id(), clock.nanos());
    }
  }

  private boolean isReady() {
    return !stopping.get() && feed.isInitialized();
  }

  private StatusServer.Page renderReadiness() {
    boolean ready = isReady();
    return new StatusServer.Page(ready, ready ? "ready\n" : "not ready\n");
  }

  private Map<String, Number> gauges() {
    Map<String, Number> gauges = new LinkedHashMap<>();
    gauges.put("requests.active", exchanges.active());
    gauges.put("requests.held", exchanges.heldCount());
    gauges.put("config.version", configVersion());
    gauges.put("config.outdated", feed.isConfigurationOutdated() ? 1 : 0);
    gauges.put("config.region_conflicts", regionFaults.conflicts());
    evacuations.active().forEach(e -> gauges.put(evacuationGauge(e), e.position().revision()));
    gauges.put("domains.evacuated", evacuations.active().size());
    gauges.put("store.contact_age_ms", feed.contactAgeMillis());
    gauges.put("store.era", feed.lastAnswered().era());
    gauges.put("store.revision", feed.lastAnswered().revision());
    gauges.put("store.following", feed.isFollowing() ? 1 : 0);
    gauges.put("servers.known", directory.all().size());
    gauges.put("servers.region_unknown", countServersOfUnknownRegion());
    gauges.put("peers.known", peerCount());
    gauges.put("servers.limited", limits.limitedCount(clock.nanos()));
    gauges.put("servers.leaving", notices.leavingCount());
    gauges.put("servers.paused", notices.pausedCount(clock.nanos()));
    gauges.put("servers.cold", notices.coldCount(directory.all(), clock.nanos()));
    gauges.put("streams.known", streamOrigins.size(clock.nanos()));
    gauges.put("services.several_versions", versionHistory.countSeveralVersions());
    gauges.put("quarantine.parts", quarantine.quarantined(clock.nanos()).size());
    return gauges;
  }

  private static String evacuationGauge(Evacuation e) {
    String label = e.domain().value().replaceAll("[^A-Za-z0-9._-]", "_");
    return "domain.evacuated_revision{failure_domain=\"" + label + "\"}";
  }

  private long countServersOfUnknownRegion() {
    if (regionFilter.regions().isEmpty()) {
      return 0;
    }
    return directory.all().stream().filter(s -> regionFilter.regionOf(s) == null).count();
  }

  private String dump() {
    StringBuilder text = new StringBuilder();
    text.append("node ").append(self).append('\n');
    gauges().forEach((k, v) -> text.append(k).append(' ').append(v).append('\n'));
    directory.all().forEach(s -> text.append(s).append('\n'));
    evacuations
        .active()
        .forEach(
            e ->
                text.append("evacuated ")
                    .append(e.domain() + " since " + e.position())
                    .append('\n'));
    regionFilter
        .regions()
        .forEach((d, region) -> text.append("region ").append(d + " " + region).append('\n'));
    limits
        .limits(clock.nanos())
        .forEach((server, l) -> text.append(server).append(' ').append(l).append('\n'));
    quarantine
        .quarantined(clock.nanos())
        .forEach(p -> text.append("quarantined ").append(p).append('\n'));
    return text.toString();
  }

  @Override
  public void start() throws InterruptedException {
    callers.start();
    readiness.start();
    status.start();
    gossipTransport.start();
    loop.execute(feed::start);
    LOG.atInfo()
        .addKeyValue("event", "router.started")
        .addKeyValue("name", settings.name())
        .addKeyValue("incarnation", self.incarnation())
        .addKeyValue("failure_domain", settings.domain().value())
        .addKeyValue("callers", Addresses.format(callers.address()))
        .log("router started");
  }

  /**
   * Applies changed settings. Retry limits, seeds, regions and the grace period change immediately.
   * Addresses, the name and the failure domain change only with a restart.
   *
   * @param next the validated settings
   */
  public void reload(GatewaySettings next) {
    LOG.atInfo()
        .addKeyValue("event", "settings.reloaded")
        .addKeyValue("retry_ratio", next.retryRatio())
        .addKeyValue("retry_slack", next.retrySlack())
        .addKeyValue("stop_grace_ms", next.stopGraceMillis())
        .addKeyValue("seeds", next.seeds().stream().map(Addresses::format).toList())
        .log("settings reloaded");
    loop.execute(
        () -> {
          retryBudget.setLimits(next.retryRatio(), next.retrySlack());
          gossipTransport.gossip().setSeeds(next.seeds());
          regionFilter.setRegions(next.regions());
          settings = next;
        });
  }

  private void scheduleExpiryIfNeeded() {
    boolean needed = directory.hasUnconfirmed() || evacuations.hasMissing();
    if (needed && !expiryScheduled) {
      expiryScheduled = true;
      timers.schedule(
          EXPIRY_CHECK_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI, this::expireUnconfirmed);
    }
  }

  private void expireUnconfirmed() {
    expiryScheduled = false;
    directory.expireUnconfirmed(clock.nanos());
    directory.trustRestored(clock.nanos() - feed.contactAgeMillis() * Clock.NANOS_PER_MILLI);
    evacuations.expireMissing(clock.nanos());
    scheduleExpiryIfNeeded();
  }

  /**
   * Stops gracefully: accepts requests until the load balancer has detected the stop, lets running
   * answers complete, and aborts the remaining ones shortly before the process would be killed.
   */
  @Override
  public void stop() {
    if (!stopping.compareAndSet(false, true)) {
      return;
    }
    long graceMillis = settings.stopGraceMillis();
    LOG.atInfo()
        .addKeyValue("event", "router.stopping")
        .addKeyValue("grace_ms", graceMillis)
        .log("router stopping");
    loop.execute(() -> stopSequence.start(graceMillis));
    try {
      stopped.await(graceMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    loops.shutdownGracefully(0, StopSequence.ABORT_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS);
  }

  /** Implements the stages of a graceful stop; runs on the event loop. */
  private final class GracefulStages implements StopSequence.Stages {
    @Override
    public void drain() {
      callers.drain();
    }

    @Override
    public void refuse() {
      exchanges.close();
      callers.closeIdle();
    }

    @Override
    public void end() {
      LOG.atInfo()
          .addKeyValue("event", "router.stopped")
          .addKeyValue("cut", exchanges.active())
          .log("router stopped");
      feed.stop();
      callers.stop();
      gossipTransport.stop();
      readiness.stop();
      status.stop();
      stopped.countDown();
    }
  }
}
