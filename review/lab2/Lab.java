import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Stand-ins and helpers shared by the scripted cases: store, backend server, caller and router. */
final class Lab implements Closeable {
  static final String HOST = "review.example";
  static final String KEY = "review-key-1";

  private final List<Closeable> closeables = new ArrayList<>();
  private final List<Process> processes = new ArrayList<>();
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final Path work;
  private final int net;
  private int lastHost;

  Lab(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    work = Files.createTempDirectory("review-");
    // A random part of the loopback range keeps runs beside each other apart.
    net = 16 + (int) (Math.random() * 200);
    lastHost = (int) (Math.random() * 50) * 1000;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  synchronized void log(String text) {
    String line =
        String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - startedAt) / 1e9, text);
    record.println(line);
    System.out.println(line);
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized String newIp() {
    lastHost++;
    return "127." + net + "." + (lastHost / 250) + "." + (1 + lastHost % 250);
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return s.getLocalPort();
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread thread(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    t.start();
    return t;
  }

  <T extends Closeable> T own(T c) {
    synchronized (closeables) {
      closeables.add(c);
    }
    return c;
  }

  @Override
  public void close() {
    synchronized (closeables) {
      for (Process p : processes) {
        p.destroyForcibly();
      }
      for (Closeable c : closeables) {
        try {
          c.close();
        } catch (IOException e) {
          // Nothing is left to do for it.
        }
      }
      closeables.clear();
    }
    try (var files = Files.walk(work)) {
      files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      // The temporary folder is gone already.
    }
  }

  // HTTP messages.

  /** Holds the head of a message and what was read of its body. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    boolean complete;
    String ending = "";

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      String[] words = first.split(" ");
      return words.length > 1 ? Integer.parseInt(words[1]) : 0;
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int b = in.read();
      if (b < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      if (b == '\n') {
        String s = line.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      line.write(b);
    }
  }

  /** Reads a head; null if the connection ends before one. */
  static Message readHead(InputStream in) throws IOException {
    Message m = new Message();
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    m.first = first;
    while (true) {
      String line = readLine(in);
      if (line == null) {
        return null;
      }
      if (line.isEmpty()) {
        return m;
      }
      int colon = line.indexOf(':');
      m.headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
  }

  /** Reads a body by its length, its chunks, or for an answer up to the connection's end. */
  static void readBody(InputStream in, Message m, boolean answer) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      String length = m.header("content-length");
      if ("chunked".equalsIgnoreCase(m.header("transfer-encoding"))) {
        while (true) {
          String size = readLine(in);
          if (size == null) {
            m.ending = "the connection ended between two chunks";
            break;
          }
          int n = Integer.parseInt(size.trim(), 16);
          if (n == 0) {
            readLine(in);
            m.complete = true;
            break;
          }
          if (!copy(in, body, n)) {
            m.ending = "the connection ended within a chunk";
            break;
          }
          readLine(in);
        }
      } else if (length != null) {
        m.complete = copy(in, body, Integer.parseInt(length));
        m.ending = m.complete ? "" : "the connection ended within the body";
      } else if (answer) {
        byte[] buffer = new byte[8192];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          body.write(buffer, 0, n);
        }
        m.complete = true;
      } else {
        m.complete = true;
      }
    } catch (IOException e) {
      m.ending = "the connection broke: " + e.getMessage();
    }
    m.body = body.toByteArray();
  }

  private static boolean copy(InputStream in, ByteArrayOutputStream out, int n)
      throws IOException {
    byte[] buffer = new byte[8192];
    int left = n;
    while (left > 0) {
      int read = in.read(buffer, 0, Math.min(left, buffer.length));
      if (read < 0) {
        return false;
      }
      out.write(buffer, 0, read);
      left -= read;
    }
    return true;
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns a complete answer to a request, with the seal that servers add. */
  static byte[] okAnswer(Message request, String body, String... headers) {
    String id = request.header("x-wigeonwharf-request-id");
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    head.append("X-Wigeonwharf-Request-Id: ").append(id).append("\r\n");
    head.append("X-Wigeonwharf-Server-Seal: 3e1b.07.").append(id).append("\r\n");
    for (String h : headers) {
      head.append(h).append("\r\n");
    }
    head.append("Content-Length: ").append(body.length());
    return ascii(head + "\r\nConnection: close\r\n\r\n" + body);
  }

  /** Resets a connection instead of closing it in order. */
  static void reset(Socket s) {
    try {
      s.setSoLinger(true, 0);
      s.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  // Store.

  /** Stands in for the platform's metadata store: items, one revision, reads and watches. */
  static final class Store implements Closeable {
    private record Item(String key, byte[] value, long revision, long created, boolean deleted) {
      String json() {
        return deleted
            ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"
            : "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                + "\",\"revision\":" + revision + ",\"created\":" + created + ",\"lease\":0}";
      }
    }

    private final ServerSocket listener;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private long revision = 100;

    /** Runs before each answer with the path; may wait, or return a status to refuse with. */
    volatile java.util.function.ToIntFunction<String> disruption = p -> 0;

    Store(String ip) throws IOException {
      listener = new ServerSocket(0, 512, InetAddress.getByName(ip));
      thread(
          () -> {
            while (!listener.isClosed()) {
              try {
                Socket s = listener.accept();
                thread(() -> serve(s));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    String address() {
      return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    synchronized void put(String key, String json) {
      Item before = items.get(key);
      long created = before == null ? revision + 1 : before.created;
      Item i = new Item(key, ascii(json), ++revision, created, false);
      items.put(key, i);
      history.add(i);
      notifyAll();
    }

    synchronized void delete(String key) {
      if (items.remove(key) != null) {
        history.add(new Item(key, new byte[0], ++revision, 0, true));
        notifyAll();
      }
    }

    private void serve(Socket s) {
      try (s) {
        InputStream in = new java.io.BufferedInputStream(s.getInputStream());
        while (true) {
          Message m = readHead(in);
          if (m == null) {
            return;
          }
          String path = m.first.split(" ")[1];
          int status = disruption.applyAsInt(path);
          if (status < 0) {
            reset(s);
            return;
          }
          String body = status == 0 ? answer(path) : "{}";
          int code = status == 0 ? 200 : status;
          s.getOutputStream()
              .write(
                  ascii(
                      "HTTP/1.1 " + code + " X\r\nContent-Type: application/json\r\nContent-Length: "
                          + body.length() + "\r\n\r\n" + body));
          s.getOutputStream().flush();
        }
      } catch (IOException e) {
        // The caller has left.
      }
    }

    private synchronized String answer(String path) {
      Map<String, String> query = new LinkedHashMap<>();
      int q = path.indexOf('?');
      if (q >= 0) {
        for (String pair : path.substring(q + 1).split("&")) {
          int eq = pair.indexOf('=');
          if (eq > 0) {
            query.put(
                pair.substring(0, eq),
                java.net.URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
          }
        }
      }
      String prefix = query.getOrDefault("prefix", "");
      List<String> found = new ArrayList<>();
      if (path.startsWith("/kv-watch")) {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000L;
        while (true) {
          for (Item i : history) {
            if (i.revision > after && i.key.startsWith(prefix)) {
              found.add(i.json());
            }
          }
          long left = (until - System.nanoTime()) / 1_000_000L;
          if (!found.isEmpty() || left <= 0) {
            break;
          }
          try {
            wait(left);
          } catch (InterruptedException e) {
            break;
          }
        }
        return "{\"events\":[" + String.join(",", found) + "],\"current-rev\":" + revision + "}";
      }
      String after = query.getOrDefault("after", "");
      for (Item i : items.values()) {
        if (i.key.startsWith(prefix) && i.key.compareTo(after) > 0) {
          found.add(i.json());
        }
      }
      return "{\"items\":["
          + String.join(",", found)
          + "],\"has-more\":false,\"current-rev\":"
          + revision
          + "}";
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  Store store() throws IOException {
    return own(new Store(newIp()));
  }

  /** Describes a route of the configuration. */
  static String route(String name, String kind, int timeoutMillis, int sloMillis, String service,
      int maxAttempts, boolean canResume) {
    return "{\"name\":\"r-" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name
        + "/\",\"kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMillis + ",\"slo-ms\":"
        + sloMillis + ",\"priority\":2,\"service\":\"" + service + "\",\"max-attempts\":"
        + maxAttempts + ",\"public\":false,\"sticky\":false,\"can-resume\":" + canResume
        + (kind.equals("streaming") ? ",\"gap-aim-ms\":800" : "") + "}";
  }

  static String service(String name) {
    return "{\"name\":\"" + name
        + "\",\"health-path\":\"/health\",\"max-conns\":620,\"protocol\":\"h1\",\"tls\":false}";
  }

  static String config(int version, List<String> routes, List<String> services) {
    return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
        + "],\"services\":[" + String.join(",", services)
        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-1\",\"api-keys\":[\"" + KEY + "\"]}]}";
  }

  // Backend servers.

  /** Handles one request at a backend server; the connection is closed afterwards. */
  interface Work {
    void run(Backend server, Socket socket, InputStream in, Message request) throws Exception;
  }

  /** Stands in for a backend server: one request at a time on each connection. */
  static final class Backend implements Closeable {
    final String id;
    final String service;
    final String zone;
    final int slots;
    final long born = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Work work;
    private int sequence;

    Backend(String id, String service, String zone, String ip, int slots, int receiveBuffer,
        Work work) throws IOException {
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.slots = slots;
      this.work = work;
      listener = new ServerSocket();
      if (receiveBuffer > 0) {
        listener.setReceiveBufferSize(receiveBuffer);
      }
      listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
      thread(this::acceptAll);
    }

    private void acceptAll() {
      while (!listener.isClosed()) {
        try {
          Socket s = listener.accept();
          s.setTcpNoDelay(true);
          thread(() -> serve(s));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket s) {
      try (s) {
        InputStream in = new java.io.BufferedInputStream(s.getInputStream(), 512);
        Message m = readHead(in);
        if (m != null) {
          work.run(this, s, in, m);
        }
      } catch (Exception e) {
        // The router has closed the connection.
      }
    }

    String address() {
      return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    synchronized void publish(Store store, String state) {
      store.put(
          "servers/" + id,
          "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
              + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
              + "\",\"cold-left-ms\":0,\"sequence\":" + ++sequence + ",\"born\":" + born + "}");
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  Backend backend(String id, String service, String zone, int slots, int receiveBuffer, Work work)
      throws IOException {
    return own(new Backend(id, service, zone, newIp(), slots, receiveBuffer, work));
  }

  // Routers.

  /** One router process, started with the command and environment of the deploy file. */
  final class Router {
    final String name;
    final String zone;
    final String ip;
    String callers;
    private int readyPort;
    private Path settings;
    private Process process;

    Router(String name, String zone) {
      this.name = name;
      this.zone = zone;
      this.ip = newIp();
    }

    String peers() {
      return ip + ":8229";
    }

    void start(Store store, List<String> seeds, List<String> zones) throws IOException {
      int callersPort = freePort(ip);
      callers = ip + ":" + callersPort;
      readyPort = freePort(ip);
      String template = Files.readString(Path.of("deploy/router.toml"));
      StringBuilder seedList = new StringBuilder();
      seeds.forEach(s -> seedList.append(seedList.length() == 0 ? "" : ",").append('"' + s + '"'));
      String text =
          template
              .replace("{{node-name}}", name)
              .replace("{{zone}}", zone)
              .replace("{{seeds|json}}", "[" + seedList + "]")
              .replace("{{bounds.grace-s}}", "8")
              .replace("{{listen.front}}", callers)
              .replace("{{listen.readiness-addr}}", ip + ":" + readyPort)
              .replace("{{listen.control}}", peers())
              .replace("{{ip}}", ip)
              .replace("{{platform.address}}", store.address())
              .replace("{{bounds.retry-budget-ratio}}", "0.2")
              .replace("{{bounds.budget-slack}}", "56")
              .replace("{{bounds.budget-window-s}}", "10");
      if (text.contains("{{")) {
        throw new IOException("a placeholder of the template is not known to this script");
      }
      settings = work.resolve(name + ".toml");
      Files.writeString(settings, text);
      String command = null;
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = \"")) {
          command = line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
      }
      command = command.replace("/etc/wigeonwharf/node.toml", settings.toString());
      ProcessBuilder b = new ProcessBuilder(command.split(" "));
      b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      StringBuilder regions = new StringBuilder();
      zones.forEach(z -> regions.append(regions.length() == 0 ? "" : ",").append(z + "=region-1"));
      b.environment().put("WIGEONWHARF_CONFIG", settings.toString());
      b.environment().put("ROUTER_REGIONS", regions.toString());
      b.redirectErrorStream(true);
      b.redirectOutput(new java.io.File(System.getProperty("lab.logs", work.toString()), name + ".log"));
      process = b.start();
      synchronized (closeables) {
        processes.add(process);
      }
      log("router " + name + " started, callers at " + callers);
    }

    boolean awaitReady(long millis) {
      long until = System.nanoTime() + millis * 1_000_000L;
      while (System.nanoTime() < until) {
        if (isReady()) {
          return true;
        }
        sleep(50);
      }
      return false;
    }

    boolean isReady() {
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress(ip, readyPort), 500);
        s.setSoTimeout(1000);
        s.getOutputStream().write(ascii("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"));
        Message m = readHead(s.getInputStream());
        return m != null && m.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    void signal(String name) throws IOException {
      log("SIG" + name + " to router " + this.name);
      try {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    boolean awaitExit(long millis) throws InterruptedException {
      return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    Socket connect() throws IOException {
      Socket s = new Socket();
      s.setTcpNoDelay(true);
      s.connect(address(callers), 1000);
      return s;
    }
  }

  Router router(String name, String zone) {
    return new Router(name, zone);
  }

  static InetSocketAddress address(String text) throws IOException {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
  }

  // Callers.

  static String requestHead(String method, String path, String id, int deadlineMillis, int length) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Wigeonwharf-Request-Id: " + id
        + "\r\nX-Wigeonwharf-Request-Deadline: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY
        + "\r\n" + (length >= 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
  }

  /** Sends one request on a new connection and reads the whole answer; null if there is none. */
  static Message call(Router router, String method, String path, String id, int deadlineMillis,
      byte[] body) throws IOException {
    try (Socket s = router.connect()) {
      s.setSoTimeout(deadlineMillis + 1000);
      OutputStream out = s.getOutputStream();
      out.write(ascii(requestHead(method, path, id, deadlineMillis, body.length)));
      out.write(body);
      out.flush();
      InputStream in = new java.io.BufferedInputStream(s.getInputStream());
      Message m = readHead(in);
      if (m != null) {
        readBody(in, m, true);
      }
      return m;
    }
  }

  /** Ends the script with a status: 0 the rule held, 1 it was broken, 2 the case couldn't run. */
  void finish(int status, String text) {
    log(text);
    log("exit status " + status);
    close();
    Runtime.getRuntime().halt(status);
  }

  static void run(String folder, CaseBody body) {
    int status = 2;
    try {
      Lab lab = new Lab(Path.of(folder, "record.txt"));
      thread(
          () -> {
            sleep(115_000);
            lab.finish(2, "the case took too long");
          });
      try {
        body.run(lab);
      } catch (Throwable t) {
        lab.finish(2, "the case could not run: " + t);
      }
    } catch (IOException e) {
      System.err.println("no record can be written: " + e);
    }
    Runtime.getRuntime().halt(status);
  }

  interface CaseBody {
    void run(Lab lab) throws Exception;
  }
}
