import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-ins of the platform's store, backend servers and callers, and the router processes that
 * they surround. All addresses are loopback addresses; each router has an address of its own, as a
 * VM has.
 */
final class Lab implements AutoCloseable {
  /** Interval of a server's heartbeat; its entry expires after three of them. */
  static final long HEARTBEAT_MILLIS = 1_200;

  static final String HOST = "desk.example";
  static final String KEY = "n2ctnfzs989anu6wsjnb";

  final long startedAt = System.nanoTime();
  final ExecutorService threads = Executors.newCachedThreadPool(Lab::daemon);
  final Random random = new Random(7);
  final Store store;
  final List<Router> routers = new ArrayList<>();
  final List<Backend> backends = Collections.synchronizedList(new ArrayList<>());
  private final PrintWriter record;
  private final Path directory;
  private final AtomicLong lastRequest = new AtomicLong();
  private final int net = 1 + new Random().nextInt(250);
  private final String idPrefix = Long.toHexString(new Random().nextInt() & 0xffffffffL);

  private static Thread daemon(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    return t;
  }

  Lab(String recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)));
    directory = Files.createTempDirectory("review3");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::destroy)));
    store = new Store();
    store.start(address("127." + net + ".0.1"));
  }

  static boolean troubled() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  void log(String format, Object... args) {
    String line =
        String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, args);
    synchronized (record) {
      record.println(line);
    }
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... args) {
    log(format, args);
    System.out.println(String.format(Locale.ROOT, format, args));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  String nextRequestId() {
    return idPrefix + String.format("%08x", lastRequest.incrementAndGet());
  }

  private static InetSocketAddress address(String ip) throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return new InetSocketAddress(ip, s.getLocalPort());
    }
  }

  static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  @Override
  public void close() {
    routers.forEach(Router::destroy);
    backends.forEach(Backend::end);
    store.end();
    record.close();
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      System.err.println("temporary folder not removed: " + e);
    }
  }

  // Configuration.

  /** Publishes a configuration with the given routes, each a JSON object. */
  void configure(long version, List<String> services, List<String> routes) {
    store.put(
        "op/config",
        "{\"version\":"
            + version
            + ",\"routes\":["
            + String.join(",", routes)
            + "],\"services\":["
            + String.join(",", services)
            + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
            + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\""
            + KEY
            + "\"],\"priority\":1}]}");
  }

  static String plainService(String name) {
    return "{\"name\":\"" + name + "\",\"health-path\":\"/health\",\"max-conns\":360}";
  }

  static String modelService(String name, int slots) {
    return "{\"name\":\""
        + name
        + "\",\"health-path\":\"/health\",\"max-conns\":360,\"engine\":{\"slots\":"
        + slots
        + ",\"kv-capacity\":569993}}";
  }

  static String route(
      String name, String kind, String service, int attempts, long timeoutMillis, String more) {
    return "{\"name\":\""
        + name
        + "\",\"host\":\""
        + HOST
        + "\",\"prefix\":\"/"
        + name
        + "/\",\"kind\":\""
        + kind
        + "\",\"service\":\""
        + service
        + "\",\"timeout-ms\":"
        + timeoutMillis
        + ",\"max-attempts\":"
        + attempts
        + ",\"public\":false,\"priority\":1"
        + more
        + "}";
  }

  // Routers.

  /** Starts routers, one in each of the given zones, and waits until all are ready. */
  void startRouters(List<String> zones) throws IOException {
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < zones.size(); i++) {
      Router r = new Router("front-" + zones.get(i) + "-" + (i + 1), zones.get(i), 10 + i);
      routers.add(r);
      if (i < 3) {
        seeds.add("\"" + text(r.control) + "\"");
      }
    }
    for (Router r : routers) {
      r.writeSettings("[" + String.join(",", seeds) + "]", zones);
      r.start();
    }
    for (Router r : routers) {
      r.awaitReady();
    }
    log("routers ready: %s", routers);
  }

  /** One router process, run as the deploy file says. */
  final class Router {
    final String name;
    final String zone;
    final String ip;
    final InetSocketAddress front;
    final InetSocketAddress ready;
    final InetSocketAddress control;
    private final Path settings;
    private String regions = "";
    private Process process;

    Router(String name, String zone, int host) throws IOException {
      this.name = name;
      this.zone = zone;
      this.ip = "127." + net + ".1." + host;
      this.front = address(ip);
      this.ready = address(ip);
      this.control = address(ip);
      this.settings = directory.resolve(name + ".toml");
    }

    void writeSettings(String seeds, List<String> zones) throws IOException {
      Map<String, String> values = new HashMap<>();
      values.put("node-name", name);
      values.put("zone", zone);
      values.put("seeds|json", seeds);
      values.put("bounds.grace-s", "8");
      values.put("listen.front", text(front));
      values.put("listen.readiness-addr", text(ready));
      values.put("listen.control", text(control));
      values.put("ip", ip);
      values.put("platform.address", text(store.address));
      values.put("bounds.retry-budget-ratio", "0.2");
      values.put("bounds.budget-slack", "56");
      values.put("bounds.budget-window-s", "10");
      Matcher m =
          Pattern.compile("\\{\\{([^}]+)\\}\\}")
              .matcher(Files.readString(Path.of("deploy/router.toml")));
      StringBuilder out = new StringBuilder();
      while (m.find()) {
        String value = values.get(m.group(1));
        if (value == null) {
          throw new IOException("unknown placeholder in deploy/router.toml: " + m.group(1));
        }
        m.appendReplacement(out, Matcher.quoteReplacement(value));
      }
      m.appendTail(out);
      Files.writeString(settings, out.toString());
      List<String> pairs = new ArrayList<>();
      zones.stream().distinct().forEach(z -> pairs.add(z + "=" + z.replaceAll("-[0-9a-z]+$", "")));
      regions = String.join(",", pairs);
    }

    void start() throws IOException {
      Matcher run =
          Pattern.compile("(?m)^run = \"(.*)\"$")
              .matcher(Files.readString(Path.of("deploy/system.toml")));
      if (!run.find()) {
        throw new IOException("no command in deploy/system.toml");
      }
      List<String> command = new ArrayList<>();
      for (String word : run.group(1).split(" ")) {
        command.add(word.equals("/etc/wigeonwharf/node.toml") ? settings.toString() : word);
      }
      ProcessBuilder b = new ProcessBuilder(command);
      b.environment().put("ROUTER_REGIONS", regions);
      String logs = System.getenv("ROUTER_LOGS");
      File out = logs == null ? new File("/dev/null") : new File(logs, name + ".log");
      b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(out));
      process = b.start();
      log("started %s, pid %d, front %s", name, process.pid(), text(front));
    }

    void awaitReady() throws IOException {
      for (int i = 0; i < 300; i++) {
        try (Socket s = new Socket()) {
          s.connect(ready, 500);
          s.setSoTimeout(1_000);
          s.getOutputStream()
              .write("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          byte[] head = s.getInputStream().readNBytes(12);
          if (new String(head, StandardCharsets.US_ASCII).endsWith("200")) {
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        sleep(100);
      }
      throw new IOException(name + " is not ready");
    }

    /** Sends a signal by its name, such as STOP, CONT, TERM or KILL. */
    void signal(String signal) throws IOException {
      log("signal %s to %s", signal, name);
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    void destroy() {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    @Override
    public String toString() {
      return name;
    }
  }

  // The platform's store.

  /** The platform's store, as far as routers read it. */
  final class Store {
    private final TreeMap<String, String> items = new TreeMap<>();
    private final List<String> events = new ArrayList<>();
    private final Map<String, Long> heardAt = new HashMap<>();
    private final long firstRevision = 100;
    private long revision = firstRevision;
    private InetSocketAddress address;
    private ServerSocket listener;
    private volatile boolean down;

    void start(InetSocketAddress a) throws IOException {
      address = a;
      listener = new ServerSocket();
      listener.bind(a, 100);
      threads.execute(this::accept);
      threads.execute(this::expire);
    }

    void end() {
      try {
        listener.close();
      } catch (IOException e) {
        // Closed already.
      }
    }

    /** Makes the store silent for all, servers included; their leases don't run meanwhile. */
    synchronized void setDown(boolean down) {
      log("store %s", down ? "down" : "up");
      this.down = down;
      if (!down) {
        heardAt.replaceAll((key, at) -> System.nanoTime());
      }
      notifyAll();
    }

    boolean isDown() {
      return down;
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket s = listener.accept();
          threads.execute(() -> serve(s));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket s) {
      try (s) {
        InputStream in = new BufferedInputStream(s.getInputStream());
        Message call = Message.read(in);
        if (call == null) {
          return;
        }
        String answer = call(call.target());
        if (answer == null) {
          // Silent until the caller gives up.
          in.read();
          return;
        }
        byte[] body = answer.substring(4).getBytes(StandardCharsets.UTF_8);
        s.getOutputStream()
            .write(
                concat(
                    ("HTTP/1.1 "
                            + answer.substring(0, 3)
                            + " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                            + "Content-Length: "
                            + body.length
                            + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII),
                    body));
      } catch (IOException e) {
        // The caller has left.
      }
    }

    private synchronized String call(String target) {
      if (down) {
        return null;
      }
      Map<String, String> query = query(target);
      if (target.startsWith("/kv-range")) {
        StringBuilder found = new StringBuilder();
        for (String key : items.tailMap(query.getOrDefault("after", ""), false).keySet()) {
          if (key.startsWith(query.getOrDefault("prefix", ""))) {
            found.append(found.length() == 0 ? "" : ",").append(items.get(key));
          }
        }
        return "200 {\"items\":["
            + found
            + "],\"has-more\":false,\"current-rev\":"
            + revision
            + "}";
      }
      if (target.startsWith("/kv-watch")) {
        long after = Long.parseLong(query.get("after"));
        long endsAt = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
        while (revision <= after && !down) {
          long millis = (endsAt - System.nanoTime()) / 1_000_000;
          if (millis <= 0) {
            break;
          }
          try {
            wait(millis);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
          }
        }
        if (down) {
          return null;
        }
        if (after < firstRevision || after > revision) {
          return "410 {}";
        }
        List<String> news = events.subList((int) (after - firstRevision), events.size());
        return "200 {\"events\":["
            + String.join(",", news)
            + "],\"current-rev\":"
            + revision
            + "}";
      }
      return "404 {}";
    }

    private Map<String, String> query(String target) {
      Map<String, String> query = new HashMap<>();
      int mark = target.indexOf('?');
      if (mark >= 0) {
        for (String pair : target.substring(mark + 1).split("&")) {
          String[] p = pair.split("=", 2);
          query.put(p[0], p.length < 2 ? "" : URLDecoder.decode(p[1], StandardCharsets.UTF_8));
        }
      }
      return query;
    }

    synchronized void put(String key, String value) {
      revision++;
      String item =
          "{\"key\":\""
              + key
              + "\",\"value\":\""
              + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
              + "\",\"revision\":"
              + revision
              + ",\"created\":"
              + revision
              + ",\"lease\":0}";
      items.put(key, item);
      events.add(item);
      notifyAll();
    }

    synchronized void delete(String key) {
      if (items.remove(key) != null) {
        revision++;
        events.add("{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}");
        notifyAll();
      }
    }

    /** Takes a server's heartbeat; returns false if the store is down. */
    synchronized boolean heartbeat(String key, String value, boolean changed) {
      if (down) {
        return false;
      }
      heardAt.put(key, System.nanoTime());
      if (changed || !items.containsKey(key)) {
        put(key, value);
      }
      return true;
    }

    /** Removes the entries of servers after three heartbeats of silence. */
    private void expire() {
      while (!listener.isClosed()) {
        synchronized (this) {
          for (String key : List.copyOf(items.keySet())) {
            Long at = heardAt.get(key);
            if (at != null
                && !down
                && System.nanoTime() - at > 3 * HEARTBEAT_MILLIS * 1_000_000L) {
              log("entry %s expires", key);
              heardAt.remove(key);
              delete(key);
            }
          }
        }
        sleep(50);
      }
    }
  }

  // Backend servers.

  /** Serves one request; the request has been read and was meant for this server. */
  interface Handler {
    void handle(Backend server, Message request, Exchange exchange) throws IOException;
  }

  /** One backend server. */
  final class Backend {
    final String id;
    final String service;
    final String zone;
    final int slots;
    final InetSocketAddress address;
    final AtomicInteger running = new AtomicInteger();
    volatile String version = "v1";
    volatile String state = "ready";
    volatile long born;
    volatile boolean up;
    volatile boolean cutFromStore;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;
    private String published = "";

    Backend(String id, String service, String zone, int slots, int host, Handler handler)
        throws IOException {
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.slots = slots;
      this.handler = handler;
      this.address = address("127." + net + ".2." + host);
      backends.add(this);
      threads.execute(this::beat);
    }

    void start() throws IOException {
      born = System.currentTimeMillis();
      running.set(0);
      ServerSocket s = new ServerSocket();
      s.setReuseAddress(true);
      s.bind(address, 200);
      listener = s;
      up = true;
      log("server %s (%s %s) starts at %s, born %d", id, service, version, text(address), born);
      threads.execute(() -> accept(s));
      publish();
    }

    /** Ends the process at once: all its connections are reset. */
    void crash() {
      log("server %s crashes", id);
      end();
    }

    void end() {
      up = false;
      try {
        if (listener != null) {
          listener.close();
        }
        for (Socket s : connections) {
          s.setSoLinger(true, 0);
          s.close();
        }
      } catch (IOException e) {
        // Closed already.
      }
      connections.clear();
    }

    String entry() {
      return "{\"service\":\""
          + service
          + "\",\"address\":\""
          + text(address)
          + "\",\"zone\":\""
          + zone
          + "\",\"version\":\""
          + version
          + "\",\"slots\":"
          + slots
          + ",\"state\":\""
          + state
          + "\",\"cold-left-ms\":0,\"sequence\":1,\"born\":"
          + born
          + "}";
    }

    /** Writes the entry, or renews it if nothing has changed. */
    synchronized void publish() {
      if (!up || cutFromStore) {
        return;
      }
      String entry = entry();
      if (store.heartbeat("servers/" + id, entry, !entry.equals(published))) {
        if (!entry.equals(published)) {
          log("server %s publishes %s", id, entry);
        }
        published = entry;
      }
    }

    /** Makes the next heartbeat write the entry anew, as when another writer has replaced it. */
    synchronized void forgetPublished() {
      published = "";
    }

    private void beat() {
      while (true) {
        sleep(HEARTBEAT_MILLIS);
        publish();
      }
    }

    private void accept(ServerSocket s) {
      while (!s.isClosed()) {
        try {
          Socket c = s.accept();
          connections.add(c);
          threads.execute(() -> serve(c));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket c) {
      try (c) {
        c.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(c.getInputStream());
        while (true) {
          Message r = Message.read(in);
          if (r == null) {
            return;
          }
          Exchange e = new Exchange(this, r, c);
          String expected = r.header("x-wigeonwharf-expect-instance");
          if (expected != null && !expected.equals(id)) {
            e.answer(421, "X-Wigeonwharf-Instance-Id: " + id + "\r\n", "", false);
            continue;
          }
          running.incrementAndGet();
          try {
            handler.handle(this, r, e);
          } finally {
            running.decrementAndGet();
          }
        }
      } catch (IOException e) {
        // The router has left, or this server has crashed.
      } finally {
        connections.remove(c);
      }
    }
  }

  /** Writes the answer to one request. */
  final class Exchange {
    private final Backend server;
    private final Message request;
    private final Socket connection;
    private volatile String moreHeaders = "";

    Exchange(Backend server, Message request, Socket connection) {
      this.server = server;
      this.request = request;
      this.connection = connection;
    }

    /** Adds header lines to the answer. */
    void addHeaders(String lines) {
      moreHeaders += lines;
    }

    private String head(int status, String lines, boolean sealed) {
      return "HTTP/1.1 "
          + status
          + " Status\r\nX-Wigeonwharf-Request-Id: "
          + request.id()
          + "\r\nX-Wigeonwharf-Server-Load: "
          + server.running.get()
          + ",0,"
          + server.slots
          + "\r\n"
          + (sealed ? "X-Wigeonwharf-Server-Seal: " + server.id + "." + request.id() + "\r\n" : "")
          + moreHeaders
          + lines;
    }

    private void write(String text) throws IOException {
      OutputStream out = connection.getOutputStream();
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    void answer(int status, String lines, String body, boolean sealed) throws IOException {
      write(head(status, lines + "Content-Length: " + body.length() + "\r\n\r\n", sealed) + body);
    }

    void beginStream() throws IOException {
      write(
          head(
              200,
              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
              true));
    }

    void event(int number, String data) throws IOException {
      String event = "id: " + number + "\ndata: " + data + "\n\n";
      write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    void endStream() throws IOException {
      write("0\r\n\r\n");
    }

    boolean isOpen() {
      return !connection.isClosed();
    }
  }

  /** The head and body of a request. */
  static final class Message {
    private final String firstLine;
    private final Map<String, String> headers = new HashMap<>();
    private byte[] body = new byte[0];

    private Message(String firstLine) {
      this.firstLine = firstLine;
    }

    String target() {
      return firstLine.split(" ")[1];
    }

    String header(String name) {
      return headers.get(name);
    }

    String id() {
      return headers.getOrDefault("x-wigeonwharf-request-id", "");
    }

    String body() {
      return new String(body, StandardCharsets.UTF_8);
    }

    static Message read(InputStream in) throws IOException {
      String first = readLine(in);
      if (first == null) {
        return null;
      }
      Message m = new Message(first);
      for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
        int colon = line.indexOf(':');
        m.headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      m.body = in.readNBytes(Integer.parseInt(m.headers.getOrDefault("content-length", "0")));
      return m;
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  static byte[] concat(byte[] a, byte[] b) {
    byte[] all = new byte[a.length + b.length];
    System.arraycopy(a, 0, all, 0, a.length);
    System.arraycopy(b, 0, all, a.length, b.length);
    return all;
  }

  // Callers.

  /** The answer to one attempt of a caller. */
  static final class Answer {
    int status;
    Map<String, String> headers = new HashMap<>();
    String body = "";
    boolean complete;
    String error = "";

    boolean isSuccess() {
      return complete && status >= 200 && status < 300;
    }

    @Override
    public String toString() {
      return status == 0
          ? "no answer (" + error + ")"
          : status + (complete ? "" : " cut (" + error + ")") + " " + headers.get("retry-after");
    }
  }

  /**
   * Sends one request to a router on a new connection and waits for the answer.
   *
   * @param silenceMillis the time without a byte after which the caller gives up
   */
  Answer send(
      Router router, String id, String route, String lines, long deadlineMillis, int silenceMillis) {
    Answer a = new Answer();
    try (Socket s = new Socket()) {
      s.connect(router.front, 1_000);
      s.setTcpNoDelay(true);
      s.setSoTimeout(silenceMillis);
      String body = "{}";
      s.getOutputStream()
          .write(
              ("POST /"
                      + route
                      + "/2f HTTP/1.1\r\nHost: "
                      + HOST
                      + "\r\nX-Wigeonwharf-Request-Id: "
                      + id
                      + "\r\nX-Wigeonwharf-Request-Deadline: "
                      + deadlineMillis
                      + "\r\nAuthorization: Bearer "
                      + KEY
                      + "\r\n"
                      + lines
                      + "Content-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body)
                  .getBytes(StandardCharsets.US_ASCII));
      read(new BufferedInputStream(s.getInputStream()), a);
    } catch (IOException e) {
      a.error = String.valueOf(e.getMessage());
    }
    return a;
  }

  private static void read(InputStream in, Answer a) throws IOException {
    String first = readLine(in);
    if (first == null) {
      throw new EOFException("closed without an answer");
    }
    a.status = Integer.parseInt(first.split(" ")[1]);
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      a.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    if (a.headers.containsKey("content-length")) {
      int length = Integer.parseInt(a.headers.get("content-length"));
      byte[] body = in.readNBytes(length);
      a.body = new String(body, StandardCharsets.UTF_8);
      a.complete = body.length == length;
      return;
    }
    while (true) {
      String size = readLine(in);
      if (size == null) {
        throw new EOFException("closed within the answer");
      }
      int length = Integer.parseInt(size.strip(), 16);
      a.body += new String(in.readNBytes(length), StandardCharsets.UTF_8);
      readLine(in);
      if (length == 0) {
        a.complete = true;
        return;
      }
    }
  }
}
