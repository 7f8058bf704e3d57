package org.wigeonwharf.relay;

import java.net.InetSocketAddress;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.relay.internal.KeyedExecution;
import org.wigeonwharf.relay.internal.RelayHandler;
import org.wigeonwharf.relay.internal.RequestIds;
import org.wigeonwharf.relay.keys.KeyService;
import org.wigeonwharf.schedule.SlotSource;

/** A RelayService listens for callers and relays their requests to backend servers. */
public final class RelayService implements Lifecycle {
  /** Longest request body accepted, in bytes. */
  public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  private static final int MAX_HEAD_BYTES = 16 * 1024;
  private static final int THREADS = 32;
  private static final int MAX_CONNECTIONS_PER_SERVER = 512;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long CALLER_IDLE_MILLIS = 60_000;
  private static final long DRAIN_POLL_MILLIS = 20;

  private final InetSocketAddress bindAddress;
  private final HttpClient client = new HttpClient();
  private final Server server = new Server(new QueuedThreadPool(THREADS));
  private final ServerConnector connector;
  private final RelayHandler handler;
  private final KeyService keys;

  /**
   * Creates a service that is not yet bound.
   *
   * @param self the own process
   * @param domain the own failure domain
   * @param bindAddress where to accept callers; port 0 lets the system choose
   * @param store the configuration in force
   * @param slots where leases come from
   * @param clock the process's clock
   * @param transport connections to peers; not yet started
   * @param secret signs idempotency keys
   */
  public RelayService(
      NodeId self,
      FailureDomain domain,
      InetSocketAddress bindAddress,
      ConfigStore store,
      SlotSource slots,
      Clock clock,
      PeerTransport transport,
      FleetSecret secret) {
    this.bindAddress = bindAddress;
    RequestIds ids = new RequestIds(self);
    KeyedExecution execution = new KeyedExecution(domain, store, slots, client, clock, ids);
    this.keys = new KeyService(self, secret, transport, clock, execution);
    this.handler = new RelayHandler(ids, domain, store, slots, client, clock, MAX_BODY_BYTES, keys);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setRequestHeaderSize(MAX_HEAD_BYTES);
    http.setHttpCompliance(HttpCompliance.RFC9110);
    this.connector = new ServerConnector(server, new HttpConnectionFactory(http));
  }

  @Override
  public void start() throws Exception {
    client.setFollowRedirects(false);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
    client.setUserAgentField(null);
    client.start();
    keys.start();
    client.getProtocolHandlers().clear();
    client.getContentDecoderFactories().clear();
    connector.setHost(bindAddress.getAddress().getHostAddress());
    connector.setPort(bindAddress.getPort());
    connector.setIdleTimeout(CALLER_IDLE_MILLIS);
    server.addConnector(connector);
    server.setHandler(handler);
    server.start();
  }

  /**
   * Returns where callers are accepted.
   *
   * @return the bound address
   */
  public InetSocketAddress address() {
    return new InetSocketAddress(bindAddress.getAddress(), connector.getLocalPort());
  }

  /**
   * Returns the number of requests being served.
   *
   * @return a count
   */
  public long inFlight() {
    return handler.inFlight();
  }

  /**
   * Accepts no new connections and waits until every request in flight has ended.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void drain() throws InterruptedException {
    connector.shutdown();
    awaitIdle();
    keys.drain();
    awaitIdle();
  }

  private void awaitIdle() throws InterruptedException {
    while (inFlight() > 0) {
      Thread.sleep(DRAIN_POLL_MILLIS);
    }
  }

  @Override
  public void stop() {
    try {
      server.stop();
      client.stop();
      keys.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the relay did not stop cleanly", e);
    }
  }
}
