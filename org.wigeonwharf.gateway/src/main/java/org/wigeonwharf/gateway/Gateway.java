package org.wigeonwharf.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.feed.PublishedStore;
import org.wigeonwharf.gateway.feed.StoreFeed;
import org.wigeonwharf.gateway.http.CallerListener;
import org.wigeonwharf.gateway.http.EventLoopTimers;
import org.wigeonwharf.gateway.http.ExchangeManager;
import org.wigeonwharf.gateway.http.ExchangeProtocol;
import org.wigeonwharf.gateway.http.ExchangeSettings;
import org.wigeonwharf.gateway.http.NettyBackendConnector;
import org.wigeonwharf.gateway.http.RequestLog;
import org.wigeonwharf.gateway.http.StatusServer;
import org.wigeonwharf.gateway.peer.PeerExchange;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.placement.ServerChooser;
import org.wigeonwharf.gateway.placement.ServerPenalties;
import org.wigeonwharf.gateway.retry.RetryBudget;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;

/**
 * A Gateway is one router process that serves routes by host and path to the servers of a published
 * directory. All its work runs on one event loop, so that decisions need no locks.
 */
public final class Gateway implements Lifecycle {
  /**
   * How long, in ms, a lapsed entry is believed after the store's return: the time in which living
   * servers are listed again, with some slack.
   */
  private static final long RETURN_GRACE_MILLIS = 2_000;

  /** How long, in ms, a silent peer's work counts. */
  private static final long PEER_WORK_MILLIS = 1_500;

  /** Time in ms between two looks at held requests and lapsed entries. */
  private static final long TICK_MILLIS = 20;

  /** Routers that the slack of the retry budget is divided by: more than today's largest fleet. */
  private static final double RETRY_SHARES = 20;

  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  private volatile GatewaySettings settings;
  private final NodeId self;
  private final EventLoopGroup loops;
  private final EventLoop loop;
  private final Clock clock;
  private final ServerDirectory directory;
  private final ServerChooser chooser;
  private final StoreFeed feed;
  private final RetryBudget budget;
  private final ExchangeManager exchanges;
  private final CallerListener callers;
  private final PeerExchange peers;
  private final StatusServer readiness;
  private final StatusServer status;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final StopSequence stopSequence;
  private @Nullable Future<?> ticks;

  /**
   * Creates a gateway; nothing is started.
   *
   * @param settings the process settings
   * @param self the own process
   * @param loops a group of one event loop, owned by the gateway
   * @param store the platform's store
   * @param protocol spells headers
   * @param clock monotonic time
   * @param random spreads retries and split routes
   * @param metrics counts what happens
   */
  public Gateway(
      GatewaySettings settings,
      NodeId self,
      EventLoopGroup loops,
      PublishedStore store,
      ExchangeProtocol protocol,
      Clock clock,
      RandomGenerator random,
      MetricRegistry metrics) {
    this.settings = settings;
    this.self = self;
    this.loops = loops;
    this.loop = loops.next();
    this.clock = clock;
    this.directory = new ServerDirectory(RETURN_GRACE_MILLIS * Clock.NANOS_PER_MILLI);
    InFlightTracker ledger = new InFlightTracker(PEER_WORK_MILLIS * Clock.NANOS_PER_MILLI);
    PrefixCacheIndex prompts = new PrefixCacheIndex();
    this.chooser = new ServerChooser(settings.domain(), ledger, prompts, ServerPenalties.DEFAULT);
    EventLoopTimers timers = new EventLoopTimers(loop, clock);
    this.feed = new StoreFeed(store, directory, timers, random, this::changed, metrics);
    this.budget = new RetryBudget(settings.retryWindowMillis() * Clock.NANOS_PER_MILLI);
    budget.setLimits(settings.retryRatio(), settings.retrySlack() / RETRY_SHARES);
    this.exchanges =
        new ExchangeManager(
            feed::routes,
            directory,
            chooser,
            budget,
            protocol,
            new NettyBackendConnector(loop),
            timers,
            new RequestLog(clock, metrics),
            ExchangeSettings.DEFAULT,
            random::nextDouble);
    this.callers = new CallerListener(loop, settings.callerAddress(), exchanges, timers);
    this.peers =
        new PeerExchange(
            loop,
            self,
            settings.domain(),
            settings.peerAddress(),
            settings.seeds(),
            ledger,
            prompts,
            settings.secret(),
            clock,
            this::configVersion,
            feed::newerVersion);
    this.stopSequence = new StopSequence(timers, new GracefulStages(), callers::pendingResponses);
    callers.onClose(stopSequence::callerLeft);
    this.readiness =
        new StatusServer(loop, settings.readyAddress(), Map.of("/readyz", this::readyPage));
    MetricsText text = new MetricsText(metrics);
    this.status =
        new StatusServer(
            loop,
            settings.metricsAddress(),
            Map.of(
                "/metrics",
                () -> new StatusServer.Page(true, text.render(gauges())),
                "/dump",
                () -> new StatusServer.Page(true, dump())));
  }

  private long configVersion() {
    RouteTable t = feed.routes();
    return t == null ? 0 : t.version();
  }

  private void changed() {
    chooser.retainServers(directory.all().stream().map(BackendServer::id).toList());
    exchanges.retryHeld();
  }

  private boolean isReady() {
    return !stopping.get() && feed.isSettled();
  }

  private StatusServer.Page readyPage() {
    boolean ready = isReady();
    return new StatusServer.Page(ready, ready ? "ready\n" : "not ready\n");
  }

  private Map<String, Number> gauges() {
    return Map.of(
        "requests.active", exchanges.active(),
        "requests.held", exchanges.heldCount(),
        "config.version", configVersion(),
        "store.contact_age_ms", feed.contactAgeMillis(),
        "servers.known", directory.all().size(),
        "peers.known", peers.board().size());
  }

  private String dump() {
    StringBuilder text = new StringBuilder();
    text.append("node ").append(self).append('\n');
    gauges().forEach((k, v) -> text.append(k).append(' ').append(v).append('\n'));
    directory.all().forEach(s -> text.append(s).append('\n'));
    return text.toString();
  }

  @Override
  public void start() throws InterruptedException {
    callers.start();
    readiness.start();
    status.start();
    peers.start();
    loop.execute(feed::start);
    ticks =
        loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    LOG.atInfo()
        .addKeyValue("event", "router.started")
        .addKeyValue("name", settings.name())
        .addKeyValue("incarnation", self.incarnation())
        .addKeyValue("failure_domain", settings.domain().value())
        .addKeyValue("callers", Addresses.format(callers.address()))
        .log("router started");
  }

  /**
   * Takes changed settings. Retry limits and the grace change at once; addresses, the name and the
   * failure domain stay until the next start.
   *
   * @param next the checked settings
   */
  public void reload(GatewaySettings next) {
    LOG.atInfo()
        .addKeyValue("event", "settings.reloaded")
        .addKeyValue("retry_ratio", next.retryRatio())
        .addKeyValue("retry_slack", next.retrySlack())
        .addKeyValue("stop_grace_ms", next.stopGraceMillis())
        .addKeyValue("seeds", next.seeds().stream().map(Addresses::format).toList())
        .log("settings in force");
    loop.execute(
        () -> {
          budget.setLimits(next.retryRatio(), next.retrySlack() / RETRY_SHARES);
          peers.board().seeds(next.seeds());
          settings = next;
        });
  }

  private void tick() {
    directory.expireUnconfirmed(clock.nanos());
    if (exchanges.heldCount() > 0) {
      exchanges.retryHeld();
    }
  }

  /**
   * Stops gracefully: takes requests until the balancer has noticed, lets every answer end, and
   * cuts what is left shortly before the process would be killed.
   */
  @Override
  public void stop() {
    if (!stopping.compareAndSet(false, true)) {
      return;
    }
    long grace = settings.stopGraceMillis();
    LOG.atInfo()
        .addKeyValue("event", "router.stopping")
        .addKeyValue("grace_ms", grace)
        .log("router stopping");
    loop.execute(() -> stopSequence.begin(grace));
    try {
      stopped.await(grace, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    loops.shutdownGracefully(0, StopSequence.CUT_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS);
  }

  /** GracefulStages are the stages of a stop, run on the event loop. */
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
      if (ticks != null) {
        ticks.cancel(false);
      }
      feed.stop();
      callers.stop();
      peers.stop();
      readiness.stop();
      status.stop();
      stopped.countDown();
    }
  }
}
