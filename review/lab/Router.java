import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One router process, started with the command and the rendered settings of the deploy file. Each
 * has a loopback address of its own, since the port for metrics is the same on all machines.
 */
final class Router implements AutoCloseable {
  private static final int METRICS_PORT = 9464;
  private static final Random RANDOM = new Random();

  final String name;
  final String zone;
  final String ip;
  final InetSocketAddress front;
  final InetSocketAddress ready;
  final InetSocketAddress control;
  private final Path folder;
  private Process process;

  Router(String name, String zone) throws IOException {
    this.name = name;
    this.zone = zone;
    this.ip = freeIp();
    this.front = new InetSocketAddress(ip, freePort(ip));
    this.ready = new InetSocketAddress(ip, freePort(ip));
    this.control = new InetSocketAddress(ip, freePort(ip));
    this.folder = Files.createTempDirectory("review-" + name);
  }

  private static String freeIp() throws IOException {
    for (int i = 0; i < 100; i++) {
      String ip =
          "127.%d.%d.%d"
              .formatted(
                  20 + RANDOM.nextInt(200), RANDOM.nextInt(250), 1 + RANDOM.nextInt(250));
      try (ServerSocket s = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
        return ip;
      } catch (IOException e) {
        // Taken; try another one.
      }
    }
    throw new IOException("no free loopback address");
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return s.getLocalPort();
    }
  }

  static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  /** Returns the fields of a small deployment that the template of the settings uses. */
  Map<String, String> fields(String store, List<Router> seeds) {
    Map<String, String> f = new TreeMap<>();
    f.put("node-name", name);
    f.put("zone", zone);
    f.put("ip", ip);
    f.put("listen.front", text(front));
    f.put("listen.readiness-addr", text(ready));
    f.put("listen.control", text(control));
    f.put("platform.address", store);
    f.put("bounds.grace-s", "8");
    f.put("bounds.budget-window-s", "10");
    f.put("bounds.budget-slack", "56");
    f.put("bounds.retry-budget-ratio", "0.2");
    List<String> quoted = new ArrayList<>();
    seeds.stream().limit(3).forEach(r -> quoted.add('"' + text(r.control) + '"'));
    f.put("seeds|json", "[" + String.join(",", quoted) + "]");
    return f;
  }

  private static String render(String template, Map<String, String> fields) {
    Matcher m = Pattern.compile("\\{\\{([^}]+)}}").matcher(template);
    return m.replaceAll(
        x -> {
          String v = fields.get(x.group(1));
          if (v == null) {
            throw new IllegalStateException("field of the template is not set: " + x.group(1));
          }
          return Matcher.quoteReplacement(v);
        });
  }

  void start(Map<String, String> fields) throws IOException {
    start(fields, 0);
  }

  /** Starts the process; {@code maxFds} is its limit of descriptors, 0 for none. */
  void start(Map<String, String> fields, int maxFds) throws IOException {
    Path root = root();
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no command in the deploy file");
    }
    Path settings = folder.resolve("node.toml");
    Files.writeString(
        settings, render(Files.readString(root.resolve("deploy/router.toml")), fields));
    List<String> command = new ArrayList<>();
    if (maxFds > 0) {
      command.addAll(List.of("sh", "-c", "ulimit -n " + maxFds + " && exec \"$@\"", "sh"));
    }
    for (String word : run.group(1).split(" ")) {
      command.add(word.equals("/etc/wigeonwharf/node.toml") ? settings.toString() : word);
    }
    ProcessBuilder b = new ProcessBuilder(command).directory(root.toFile());
    b.environment().put("WIGEONWHARF_CONFIG", settings.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    process = b.start();
  }

  /** Returns the root of the repository. */
  static Path root() {
    return Path.of(System.getProperty("root", "."));
  }

  Path log() {
    return folder.resolve("log");
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitCode(int timeoutMillis) throws InterruptedException {
    return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  /** Sends a signal to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, "" + pid()).start().waitFor();
  }

  boolean isReady() {
    try (Client c = new Client(ready)) {
      c.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
      return c.result(1_000).equals("200");
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(int timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + timeoutMillis * 1_000_000L;
    while (System.nanoTime() < end) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  @Override
  public void close() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    if (System.getenv("KEEP") == null) {
      Files.deleteIfExists(log());
      Files.deleteIfExists(folder.resolve("node.toml"));
      Files.deleteIfExists(folder);
    } else {
      System.out.println(name + ": " + folder);
    }
  }
}
