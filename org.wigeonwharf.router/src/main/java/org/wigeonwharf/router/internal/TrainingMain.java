package org.wigeonwharf.router.internal;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
 * Runs a router against canned responses, so that the JVM writes an archive of the classes (class
 * data sharing) that the start and the first requests load.
 */
public final class TrainingMain {
  /** Number of requests; the first ones may arrive before the router has read its routes. */
  private static final int REQUEST_COUNT = 20;

  private static final int REQUEST_INTERVAL_MILLIS = 100;

  private TrainingMain() {}

  /**
   * Runs the router for some seconds.
   *
   * @param args the folder of the canned responses, and the path of the settings file to write
   * @throws Exception if a file can't be read or an address can't be bound
   */
  public static void main(String[] args) throws Exception {
    Path folder = Path.of(args[0]);
    Path settingsFile = Path.of(args[1]);
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    InetSocketAddress backendAddress = freeAddress();
    new StatusServer(loops.next(), backendAddress, readPages(folder, backendAddress)).start();
    InetSocketAddress callers = freeAddress();
    Files.writeString(settingsFile, formatSettings(callers, backendAddress));
    Thread router =
        new Thread(() -> Main.main(new String[] {"--settings", settingsFile.toString()}), "router");
    router.setDaemon(true);
    router.start();
    byte[] request = readRequest(folder);
    for (int i = 0; i < REQUEST_COUNT; i++) {
      Thread.sleep(REQUEST_INTERVAL_MILLIS);
      sendRequest(callers, request);
    }
    System.exit(0);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(s.getInetAddress(), s.getLocalPort());
    }
  }

  /** Reads the responses: the first line of a file is the request path, the rest is the body. */
  private static Map<String, Supplier<StatusServer.Page>> readPages(
      Path folder, InetSocketAddress backendAddress) throws IOException {
    String server =
        Files.readString(folder.resolve("server.json"))
            .replace("@address@", Addresses.format(backendAddress));
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

  private static byte[] readRequest(Path folder) throws IOException {
    String text = Files.readString(folder.resolve("request.http"));
    return text.replace("\n", "\r\n").getBytes(StandardCharsets.UTF_8);
  }

  private static String formatSettings(InetSocketAddress callers, InetSocketAddress store) {
    String text =
        """
        name = "training"
        failure_domain = "training"
        fleet_secret = "only-for-the-class-archive"
        seeds = ["127.0.0.1:9"]
        stop_grace_s = 1
        [listen]
        callers = "%s"
        ready = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        metrics = "127.0.0.1:0"
        [store]
        address = "%s"
        [retry]
        ratio = 0.5
        """;
    return text.formatted(Addresses.format(callers), Addresses.format(store));
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
