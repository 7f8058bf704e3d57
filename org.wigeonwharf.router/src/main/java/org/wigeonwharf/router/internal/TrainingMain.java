package org.wigeonwharf.router.internal;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.wigeonwharf.gateway.http.StatusServer;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.router.Main;

/**
 * Runs some routers, which exchange messages, against canned responses, so that the JVM writes an
 * archive of the classes (class data sharing) that the start and the first requests load.
 */
public final class TrainingMain {
  /** Number of requests; the first ones may arrive before the router has read its routes. */
  private static final int REQUEST_COUNT = 20;

  private static final int REQUEST_INTERVAL_MILLIS = 100;

  /** Time in ms in which a router has read its settings file. */
  private static final int START_INTERVAL_MILLIS = 1_000;

  private static final int BACKLOG = 10;

  /** Failure domains of the routers: messages within one differ from those between two. */
  private static final List<String> FAILURE_DOMAINS = List.of("training", "training", "other");

  private TrainingMain() {}

  /**
   * Runs the routers for some seconds.
   *
   * @param args the folder of the canned responses, and the path of the settings file to write for
   *     each router
   * @throws Exception if a file can't be read or an address can't be bound
   */
  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    Path settingsFile = Path.of(args[1]);
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress store = freeAddress();
    InetSocketAddress engine = startEngine(readHttp(folder, "answer.http"));
    new StatusServer(loops.next(), store, readPages(folder, engine)).start();
    InetSocketAddress seed = freeAddress();
    List<InetSocketAddress> callers = new ArrayList<>();
    for (String domain : FAILURE_DOMAINS) {
      InetSocketAddress address = freeAddress();
      InetSocketAddress peers = callers.isEmpty() ? seed : freeAddress();
      String name = "training-" + callers.size();
      Files.writeString(settingsFile, formatSettings(name, domain, address, peers, seed, store));
      callers.add(address);
      startRouter(settingsFile);
      Thread.sleep(START_INTERVAL_MILLIS);
    }
    byte[] request = readHttp(folder, "request.http");
    for (int i = 0; i < REQUEST_COUNT; i++) {
      Thread.sleep(REQUEST_INTERVAL_MILLIS);
      sendRequest(callers.get(i % callers.size()), request);
    }
    System.exit(0);
  }

  private static void startRouter(Path settingsFile) {
    Thread router =
        new Thread(() -> Main.main(new String[] {"--settings", settingsFile.toString()}), "router");
    router.setDaemon(true);
    router.start();
  }

  /** Starts a server that answers each connection's first request with the same stream. */
  private static InetSocketAddress startEngine(byte[] answer) throws IOException {
    ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread engine = new Thread(() -> answerAll(server, answer), "engine");
    engine.setDaemon(true);
    engine.start();
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private static void answerAll(ServerSocket server, byte[] answer) {
    while (true) {
      try (Socket s = server.accept()) {
        BufferedReader head =
            new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
        String line = head.readLine();
        while (line != null && !line.isEmpty()) {
          line = head.readLine();
        }
        s.getOutputStream().write(answer);
      } catch (IOException e) {
        System.err.println("the engine's connection failed: " + e.getMessage());
      }
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(s.getInetAddress(), s.getLocalPort());
    }
  }

  /** Reads the responses: the first line of a file is the request path, the rest is the body. */
  private static Map<String, Supplier<StatusServer.Page>> readPages(
      Path folder, InetSocketAddress engine) throws IOException {
    String server =
        Files.readString(folder.resolve("server.json"))
            .replace("@address@", Addresses.format(engine));
    String config = Files.readString(folder.resolve("config.json"));
    Map<String, Supplier<StatusServer.Page>> pages = new HashMap<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path p : files.filter(f -> f.toString().endsWith(".answer")).toList()) {
        List<String> lines = Files.readAllLines(p);
        String body =
            String.join("\n", lines.subList(1, lines.size()))
                .replace("@config@", base64(config))
                .replace("@server@", base64(server));
        pages.put(lines.get(0), () -> new StatusServer.Page(true, body));
      }
    }
    return pages;
  }

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] readHttp(Path folder, String name) throws IOException {
    String text = Files.readString(folder.resolve(name));
    return text.replace("\n", "\r\n").getBytes(StandardCharsets.UTF_8);
  }

  private static String formatSettings(
      String name,
      String domain,
      InetSocketAddress callers,
      InetSocketAddress peers,
      InetSocketAddress seed,
      InetSocketAddress store) {
    String text =
        """
        name = "%s"
        failure_domain = "%s"
        fleet_secret = "only-for-the-class-archive"
        seeds = ["%s"]
        stop_grace_s = 1
        [listen]
        callers = "%s"
        ready = "127.0.0.1:0"
        peers = "%s"
        metrics = "127.0.0.1:0"
        [store]
        address = "%s"
        [retry]
        ratio = 0.5
        """;
    return text.formatted(
        name,
        domain,
        Addresses.format(seed),
        Addresses.format(callers),
        Addresses.format(peers),
        Addresses.format(store));
  }

  private static void sendRequest(InetSocketAddress callers, byte[] request) {
    try (Socket s = new Socket(callers.getAddress(), callers.getPort())) {
      s.getOutputStream().write(request);
      s.getInputStream().readAllBytes();
    } catch (IOException e) {
      System.err.println("no response yet: " + e.getMessage());
    }
  }
}
