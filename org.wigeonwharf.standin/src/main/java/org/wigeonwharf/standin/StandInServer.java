package org.wigeonwharf.standin;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wigeonwharf.model.Lifecycle;

/** Provides the HTTP server and request helpers that all stand-ins share. */
abstract class StandInServer implements Lifecycle {
  private static final int MAX_THREADS = 64;

  private final InetSocketAddress bindAddress;
  private final Server server = new Server(new QueuedThreadPool(MAX_THREADS));
  private final ServerConnector connector;

  StandInServer(InetSocketAddress bindAddress) {
    this.bindAddress = bindAddress;
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    this.connector = new ServerConnector(server, new HttpConnectionFactory(http));
  }

  /** Serves one request; called on a thread that may block. */
  abstract void serve(Request request, Response response, Callback callback) throws Exception;

  @Override
  public void start() throws Exception {
    connector.setHost(bindAddress.getAddress().getHostAddress());
    connector.setPort(bindAddress.getPort());
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            serve(request, response, callback);
            return true;
          }
        });
    server.start();
  }

  @Override
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("failed to stop the stand-in's HTTP server", e);
    }
  }

  /**
   * Returns the address on which the stand-in listens.
   *
   * @return the bound address; valid only while the stand-in is running
   */
  public InetSocketAddress address() {
    return new InetSocketAddress(bindAddress.getAddress(), connector.getLocalPort());
  }

  static String path(Request request) {
    return Request.getPathInContext(request);
  }

  static String readBody(Request request) throws Exception {
    return Content.Source.asString(request, StandardCharsets.UTF_8);
  }

  static long longParameter(Request request, String name, long defaultValue) {
    String s = parameter(request, name, "");
    return s.isEmpty() ? defaultValue : Long.parseLong(s);
  }

  static String parameter(Request request, String name, String defaultValue) {
    Fields fields = Request.extractQueryParameters(request);
    String s = fields.getValue(name);
    return s == null ? defaultValue : s;
  }

  /** Closes the connection without writing a response, as a crashed process does. */
  static void dropConnection(Request request, Callback callback) {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
    callback.failed(new EofException("connection dropped by the stand-in"));
  }

  static void sendJson(Response response, Callback callback, int status, String body) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
  }
}
