package org.wigeonwharf.router.internal;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Serves health, readiness, metrics and state dump pages over HTTP on a separate address. */
public final class OperatorService {
  private static final int MAX_THREADS = 8;
  private static final String JSON = "application/json";

  private final InetSocketAddress bindAddress;
  private final StateDump dump;
  private final MetricRegistry metrics;
  private final Server server = new Server(new QueuedThreadPool(MAX_THREADS));
  private final ServerConnector connector = new ServerConnector(server, 1, 1);
  private final ObjectMapper json =
      new ObjectMapper()
          .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

  /**
   * Creates a service that is not started.
   *
   * @param bindAddress the listen address; port 0 selects a free port
   * @param dump collects the state for the dump page
   * @param metrics the metrics to serve
   */
  public OperatorService(InetSocketAddress bindAddress, StateDump dump, MetricRegistry metrics) {
    this.bindAddress = bindAddress;
    this.dump = dump;
    this.metrics = metrics;
  }

  /**
   * Binds the address and starts serving.
   *
   * @param ready returns whether this process should get new requests
   * @throws Exception if the address can't be bound
   */
  public void start(BooleanSupplier ready) throws Exception {
    connector.setHost(bindAddress.getAddress().getHostAddress());
    connector.setPort(bindAddress.getPort());
    server.addConnector(connector);
    server.setHandler(new PageHandler(ready));
    server.start();
  }

  /** Stops serving and closes the listener. */
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP server for operators failed to stop", e);
    }
  }

  /**
   * Returns the bound address.
   *
   * @return the listen address, with the port in use
   */
  public InetSocketAddress address() {
    return new InetSocketAddress(bindAddress.getAddress(), connector.getLocalPort());
  }

  private final class PageHandler extends Handler.Abstract {
    private final BooleanSupplier ready;

    PageHandler(BooleanSupplier ready) {
      this.ready = ready;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      switch (Request.getPathInContext(request)) {
        case "/healthz" -> write(response, callback, HttpStatus.OK_200, Map.of("status", "ok"));
        case "/readyz" -> writeReady(response, callback);
        case "/metrics" -> write(response, callback, HttpStatus.OK_200, metrics);
        case "/dump" -> write(response, callback, HttpStatus.OK_200, dump.collect());
        default ->
            write(response, callback, HttpStatus.NOT_FOUND_404, Map.of("status", "no such page"));
      }
      return true;
    }

    private void writeReady(Response response, Callback callback) throws Exception {
      boolean r = ready.getAsBoolean();
      int status = r ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
      write(response, callback, status, Map.of("ready", r));
    }

    private void write(Response response, Callback callback, int status, Object body)
        throws Exception {
      response.setStatus(status);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
      response.write(true, ByteBuffer.wrap(json.writeValueAsBytes(body)), callback);
    }
  }
}
