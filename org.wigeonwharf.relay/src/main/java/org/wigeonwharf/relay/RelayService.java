package org.wigeonwharf.relay;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.relay.internal.ConnectionGuard;
import org.wigeonwharf.relay.internal.DrainableConnector;
import org.wigeonwharf.relay.internal.LocalKeyedExecutor;
import org.wigeonwharf.relay.internal.ProblemErrorHandler;
import org.wigeonwharf.relay.internal.RelayContext;
import org.wigeonwharf.relay.internal.RelayHandler;
import org.wigeonwharf.relay.internal.RequestIdGenerator;
import org.wigeonwharf.relay.internal.RetryBudgets;
import org.wigeonwharf.relay.keys.KeyService;
import org.wigeonwharf.schedule.SlotSource;

/** Accepts callers' HTTP requests and relays them to backend servers. */
public final class RelayService implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(RelayService.class);

  private static final int MAX_THREADS = 32;
  private static final int MAX_CONNECTIONS_PER_SERVER = 512;
  private static final long SINGLE_USE_IDLE_MILLIS = 1_000;
  private static final long DRAIN_POLL_MILLIS = 20;

  private final InetSocketAddress bindAddress;
  private final RelayLimits limits;
  private final Clock clock;
  private final HttpClient pooledClient = new HttpClient();
  private final HttpClient singleUseClient = new HttpClient();
  private final Server server = new Server(new QueuedThreadPool(MAX_THREADS));
  private final DrainableConnector connector;
  private final ConnectionGuard connections;
  private final RelayHandler handler;
  private final KeyService keys;
  private volatile int boundPort;

  /**
   * Creates a service that is not yet started.
   *
   * @param self this process
   * @param domain the failure domain of this process
   * @param bindAddress the address to listen on; port 0 lets the system choose a port
   * @param store holds the current configuration
   * @param slots grants the leases
   * @param clock the clock of this process
   * @param metrics the registry for the relay's metrics
   * @param limits the limits and timeouts
   * @param transport the connections to peers; not yet started
   * @param secret the secret that signs idempotency keys
   */
  public RelayService(
      NodeId self,
      FailureDomain domain,
      InetSocketAddress bindAddress,
      ConfigStore store,
      SlotSource slots,
      Clock clock,
      MetricRegistry metrics,
      RelayLimits limits,
      PeerTransport transport,
      FleetSecret secret) {
    this.bindAddress = bindAddress;
    this.limits = limits;
    this.clock = clock;
    RelayContext context =
        new RelayContext(
            slots,
            pooledClient,
            singleUseClient,
            clock,
            limits,
            new RelayMetrics(metrics),
            new RetryBudgets());
    this.connections = new ConnectionGuard(clock, limits);
    RequestIdGenerator ids = new RequestIdGenerator(self);
    LocalKeyedExecutor executor = new LocalKeyedExecutor(domain, store, context, ids);
    this.keys = new KeyService(self, secret, transport, clock, executor);
    this.handler = new RelayHandler(ids, domain, store, context, keys, connections);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setRequestHeaderSize(limits.maxRequestHeadBytes());
    http.setHttpCompliance(HttpCompliance.RFC9110);
    this.connector = new DrainableConnector(server, new HttpConnectionFactory(http));
  }

  @Override
  public void start() throws Exception {
    startClient(pooledClient);
    singleUseClient.setIdleTimeout(SINGLE_USE_IDLE_MILLIS);
    startClient(singleUseClient);
    keys.start();
    connector.setHost(bindAddress.getAddress().getHostAddress());
    connector.setPort(bindAddress.getPort());
    connector.setIdleTimeout(limits.callerIdleTimeoutMillis());
    connector.addBean(connections);
    server.addConnector(connector);
    server.addBean(new NetworkConnectionLimit(limits.maxConnections(), connector));
    server.setErrorHandler(new ProblemErrorHandler());
    server.setHandler(handler);
    server.start();
    boundPort = connector.getLocalPort();
    connections.start(connector.getScheduler());
  }

  /**
   * Starts a client that sends each request unchanged and once: it follows no redirect, answers no
   * authentication challenge, stores no cookie and decodes no content.
   */
  private void startClient(HttpClient client) throws Exception {
    client.setFollowRedirects(false);
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.setConnectTimeout(limits.connectTimeoutMillis());
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
    client.setUserAgentField(null);
    client.start();
    client.getProtocolHandlers().clear();
    client.getContentDecoderFactories().clear();
  }

  /**
   * Returns the address on which callers are accepted.
   *
   * @return the bound address
   */
  public InetSocketAddress address() {
    return new InetSocketAddress(bindAddress.getAddress(), boundPort);
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return a count
   */
  public long inFlight() {
    return handler.inFlight();
  }

  /**
   * Stops accepting connections and waits until every request in flight has ended.
   *
   * <p>Open connections stay usable for a limited time, and every response closes its connection. A
   * request that a caller has already sent on an idle connection is thus still served.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void drain() throws InterruptedException {
    handler.startDraining();
    stopAccepting();
    awaitIdle();
    keys.drain();
    awaitIdle();
  }

  private void stopAccepting() throws InterruptedException {
    try {
      connector.stopAccepting();
    } catch (TimeoutException e) {
      // Requests on connections that are still accepted are served like those on open ones.
      LOG.atWarn()
          .addKeyValue("event", "relay.listener_open")
          .addKeyValue("reason", String.valueOf(e.getMessage()))
          .log("the listener did not close in time");
    }
  }

  private void awaitIdle() throws InterruptedException {
    long idleSinceNanos = clock.nanos();
    while (inFlight() > 0 || (connections.count() > 0 && !isDrainComplete(idleSinceNanos))) {
      Thread.sleep(DRAIN_POLL_MILLIS);
      if (inFlight() > 0) {
        idleSinceNanos = clock.nanos();
      }
    }
  }

  private boolean isDrainComplete(long sinceNanos) {
    long idleNanos = clock.nanos() - sinceNanos;
    return inFlight() == 0 && idleNanos >= limits.drainIdleMillis() * Clock.NANOS_PER_MILLI;
  }

  @Override
  public void stop() {
    try {
      server.stop();
      pooledClient.stop();
      singleUseClient.stop();
      keys.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the relay", e);
    }
  }
}
