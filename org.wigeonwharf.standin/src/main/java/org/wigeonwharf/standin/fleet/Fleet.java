package org.wigeonwharf.standin.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.wigeonwharf.model.Addresses;

/**
 * Runs a platform stand-in, backend servers and routers as separate processes on loopback.
 *
 * <p>Every process binds port 0; the fleet reads the addresses from the logs and publishes them
 * through the platform stand-in. {@link #close()} kills every process that it started.
 */
public final class Fleet implements AutoCloseable {
  /** Secret with which the routers of a fleet authenticate to each other. */
  public static final String SECRET = "demo-secret-not-for-real-use";

  private static final String STARTED_EVENT = "standin.started";
  private static final String STANDIN_MAIN = "org.wigeonwharf.standin.StandInMain";
  private static final String ROUTER_MAIN = "org.wigeonwharf.router.Main";
  private static final String SERVERS_FILE = "50-servers.toml";
  private static final long EXIT_TIMEOUT_SECONDS = 5;
  private static final long READY_TIMEOUT_SECONDS = 30;
  private static final long POLL_MILLIS = 50;

  private final Path workFolder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final Map<String, FleetProcess> processes = new LinkedHashMap<>();
  private final Map<String, RouterAddresses> routers = new LinkedHashMap<>();
  private final List<String> serverSettings = new ArrayList<>();
  private final InetSocketAddress platform;

  /**
   * Holds the addresses at which one router listens.
   *
   * @param domain the router's failure domain
   * @param callers address for callers
   * @param peers address for other routers
   * @param operators address for operators
   */
  public record RouterAddresses(
      String domain,
      InetSocketAddress callers,
      InetSocketAddress peers,
      InetSocketAddress operators) {}

  /**
   * Starts a platform stand-in that publishes the settings files of a folder.
   *
   * @param folder folder of the operators' settings files
   * @throws IOException if the process can't be started
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public Fleet(Path folder) throws IOException, InterruptedException {
    this.workFolder = Files.createTempDirectory("wigeonwharf-fleet");
    FleetProcess p =
        start("platform", STANDIN_MAIN, List.of("platform", "--folder", folder.toString()));
    this.platform = p.awaitAddress(STARTED_EVENT, "address");
  }

  private FleetProcess start(String name, String main, List<String> args) throws IOException {
    FleetProcess p = FleetProcess.start(name, main, args);
    processes.put(name, p);
    return p;
  }

  /**
   * Starts a model engine; {@link #publish()} makes it known to the routers.
   *
   * @param service the service it belongs to
   * @param name the server's name
   * @param domain its failure domain
   * @param slots its batch size: the number of requests that it runs at once
   * @param tokenMillis time between tokens, in milliseconds
   * @return its address
   * @throws IOException if the process can't be started
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public InetSocketAddress addEngine(
      String service, String name, String domain, int slots, long tokenMillis)
      throws IOException, InterruptedException {
    return addServer(
        service,
        name,
        domain,
        slots,
        List.of("engine", "--slots", "" + slots, "--token-ms", "" + tokenMillis));
  }

  /**
   * Starts a booking service; {@link #publish()} makes it known to the routers.
   *
   * @param service the service it belongs to
   * @param name the server's name
   * @param domain its failure domain
   * @return its address
   * @throws IOException if the process can't be started
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public InetSocketAddress addBooking(String service, String name, String domain)
      throws IOException, InterruptedException {
    return addServer(service, name, domain, 4, List.of("booking"));
  }

  private InetSocketAddress addServer(
      String service, String name, String domain, int slots, List<String> args)
      throws IOException, InterruptedException {
    InetSocketAddress a = start(name, STANDIN_MAIN, args).awaitAddress(STARTED_EVENT, "address");
    serverSettings.add("[services.%s.servers.%s]".formatted(service, name));
    serverSettings.add("address = \"%s\"".formatted(Addresses.format(a)));
    serverSettings.add("domain = \"%s\"".formatted(domain));
    serverSettings.add("slots = %d".formatted(slots));
    return a;
  }

  /**
   * Starts a router; {@link #publish()} makes it known to the other routers.
   *
   * @param name the entry VM's name
   * @param domain its failure domain
   * @return its addresses
   * @throws IOException if the process can't be started
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public RouterAddresses addRouter(String name, String domain)
      throws IOException, InterruptedException {
    Path file = workFolder.resolve(name + ".toml");
    Files.writeString(file, routerSettings(name, domain));
    FleetProcess p = start(name, ROUTER_MAIN, List.of("--settings", file.toString()));
    RouterAddresses a =
        new RouterAddresses(
            domain,
            p.awaitAddress("router.started", "callers"),
            p.awaitAddress("router.started", "peers"),
            p.awaitAddress("router.started", "operators"));
    routers.put(name, a);
    return a;
  }

  private String routerSettings(String name, String domain) {
    String template =
        """
        name = "%s"
        failure_domain = "%s"
        fleet_secret = "%s"
        [listen]
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        operators = "127.0.0.1:0"
        [platform]
        configuration = "%s"
        vm_list = "%s"
        """;
    String platformAddress = Addresses.format(platform);
    return template.formatted(name, domain, SECRET, platformAddress, platformAddress);
  }

  /**
   * Publishes the backend servers and routers started so far.
   *
   * @throws IOException if the platform stand-in does not answer 200
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public void publish() throws IOException, InterruptedException {
    if (!serverSettings.isEmpty()) {
      publishFile(SERVERS_FILE, String.join("\n", serverSettings));
    }
    publishVms();
  }

  /**
   * Publishes the list of the routers started so far.
   *
   * @throws IOException if the platform stand-in does not answer 200
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public void publishVms() throws IOException, InterruptedException {
    List<String> vms = new ArrayList<>();
    routers.forEach(
        (name, a) ->
            vms.add(
                "{\"name\":\"%s\",\"domain\":\"%s\",\"peer\":\"%s\",\"state\":\"live\"}"
                    .formatted(name, a.domain(), Addresses.format(a.peers()))));
    post(platform, "/control/vms", "{\"vms\":[" + String.join(",", vms) + "]}");
  }

  /**
   * Publishes one settings file.
   *
   * @param name the file's name
   * @param text its content
   * @throws IOException if the platform stand-in does not answer 200
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public void publishFile(String name, String text) throws IOException, InterruptedException {
    post(platform, "/control/files/" + name, text);
  }

  /**
   * Sends a POST request, for example a control request to a stand-in.
   *
   * @param to the server's address
   * @param path path and query
   * @param body the request's body
   * @return the response's body
   * @throws IOException if the request fails or the status is not 200
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public String post(InetSocketAddress to, String path, String body)
      throws IOException, InterruptedException {
    return send(
        HttpRequest.newBuilder(uri(to, path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  /**
   * Sends a GET request.
   *
   * @param from the server's address
   * @param path path and query
   * @return the response's body
   * @throws IOException if the request fails or the status is not 200
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public String get(InetSocketAddress from, String path) throws IOException, InterruptedException {
    return send(HttpRequest.newBuilder(uri(from, path)).build());
  }

  private String send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> r = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (r.statusCode() != 200) {
      throw new IOException(request.uri() + " answered " + r.statusCode() + ": " + r.body());
    }
    return r.body();
  }

  /**
   * Returns the URI of a path at a server.
   *
   * @param to the server's address
   * @param path path and query
   * @return an http URI
   */
  public static URI uri(InetSocketAddress to, String path) {
    return URI.create("http://" + Addresses.format(to) + path);
  }

  /**
   * Waits until every router is ready and lists all others as peers.
   *
   * @throws IOException if that takes longer than 30 s
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public void awaitReady() throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (!allReady()) {
      if (System.nanoTime() > deadline) {
        throw new IOException("the routers did not become ready in time");
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  private boolean allReady() throws InterruptedException {
    for (RouterAddresses a : routers.values()) {
      try {
        get(a.operators(), "/readyz");
        String dump = get(a.operators(), "/dump");
        for (String name : routers.keySet()) {
          if (!dump.contains("\"node\":\"" + name + "#")) {
            return false;
          }
        }
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns a started process.
   *
   * @param name its name
   * @return the process
   * @throws IllegalArgumentException if no process has this name
   */
  public FleetProcess process(String name) {
    FleetProcess p = processes.get(name);
    if (p == null) {
      throw new IllegalArgumentException("no process is named " + name);
    }
    return p;
  }

  /**
   * Returns all started processes.
   *
   * @return the processes by name, in the order of their start
   */
  public Map<String, FleetProcess> processes() {
    return processes;
  }

  /**
   * Returns the platform stand-in's address.
   *
   * @return its address
   */
  public InetSocketAddress platform() {
    return platform;
  }

  /**
   * Returns the routers' addresses.
   *
   * @return the addresses by name, in the order of their start
   */
  public Map<String, RouterAddresses> routers() {
    return routers;
  }

  @Override
  public void close() {
    processes.values().forEach(FleetProcess::kill);
    for (FleetProcess p : processes.values()) {
      try {
        p.awaitExit(EXIT_TIMEOUT_SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    deleteWorkFolder();
  }

  private void deleteWorkFolder() {
    try (var files = Files.list(workFolder)) {
      for (Path f : files.toList()) {
        Files.delete(f);
      }
      Files.delete(workFolder);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
