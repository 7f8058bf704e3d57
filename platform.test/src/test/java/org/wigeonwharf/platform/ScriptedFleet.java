package org.wigeonwharf.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Runs a store with scripted servers, and router processes before them. */
final class ScriptedFleet implements AutoCloseable {
  private final Path folder;
  private final List<ScriptedServer> servers = new ArrayList<>();
  final StoreStandIn store = new StoreStandIn();

  /**
   * Starts a store that publishes a route for each kind of request.
   *
   * @param folder receives the settings of routers
   * @param timeoutMillis the routes' timeout in ms
   */
  ScriptedFleet(Path folder, int timeoutMillis) throws IOException {
    this.folder = folder;
    store.put("op/config", ConfigurationText.ofAllKinds(1, timeoutMillis));
  }

  /** Starts servers i-1 to i-n with the same script and a router that knows them. */
  RouterProcess startRouter(int count, ScriptedServer.Script script) throws Exception {
    return startRouter(count, id -> script);
  }

  /** Starts servers i-1 to i-n, each with the script of its id, and a router that knows them. */
  RouterProcess startRouter(int count, Function<String, ScriptedServer.Script> scripts)
      throws Exception {
    for (int i = 1; i <= count; i++) {
      ScriptedServer s = new ScriptedServer(scripts.apply("i-" + i));
      servers.add(s);
      store.putServer("i-" + i, "s1", s.address(), "ready");
    }
    RouterProcess router = new RouterProcess(folder, store.address());
    for (int i = 1; i <= count; i++) {
      router.awaitServer("i-" + i);
    }
    return router;
  }

  List<ScriptedServer> servers() {
    return servers;
  }

  /** Returns how many times a request has reached the servers. */
  long sends(String id) {
    return servers.stream().mapToLong(s -> s.received(id)).sum();
  }

  @Override
  public void close() throws IOException {
    for (ScriptedServer s : servers) {
      s.close();
    }
    store.close();
  }
}
