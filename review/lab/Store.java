import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stands in for the platform's store: items, pages, watches, one revision counter. */
final class Store implements AutoCloseable {
  private final TreeMap<String, String> items = new TreeMap<>();
  private final List<long[]> revisions = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
  private final ServerSocket listener;
  private final Record record;
  private long revision = 100;

  /** Time in ms after which a waiting watch is cut; 0 if watches aren't cut. */
  volatile int cutWatchAfterMillis;

  Store(Record record) throws IOException {
    this.record = record;
    listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private static void start(Runnable action) {
    Thread t = new Thread(action);
    t.setDaemon(true);
    t.start();
  }

  /** Writes an item; the return is the ack. */
  synchronized void put(String key, String value) {
    long r = ++revision;
    String item =
        "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}"
            .formatted(
                key,
                Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
                r,
                r);
    items.put(key, item);
    add(r, item);
    record.add("store: %s written, revision %d", key, r);
  }

  synchronized void delete(String key) {
    long r = ++revision;
    items.remove(key);
    add(r, "{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}".formatted(key, r));
    record.add("store: %s removed, revision %d", key, r);
  }

  private void add(long r, String event) {
    revisions.add(new long[] {r});
    events.add(event);
    notifyAll();
  }

  /** Lets all open channels go silent for good, without a reset; new ones work. */
  void silenceOpenChannels() {
    silent.addAll(open);
    record.add("store: %d open channels go silent", silent.size());
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket s = listener.accept();
        open.add(s);
        start(() -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try {
      Http.Message m = Http.read(s.getInputStream(), false);
      if (m != null) {
        handle(s, m.firstLine().split(" ")[1]);
      }
    } catch (IOException | InterruptedException e) {
      // The caller has left.
    } finally {
      if (!silent.contains(s)) {
        close(s);
      }
    }
  }

  private void close(Socket s) {
    open.remove(s);
    try {
      s.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  private void handle(Socket s, String target) throws IOException, InterruptedException {
    int q = target.indexOf('?');
    Map<String, String> query = new HashMap<>();
    for (String f : target.substring(q + 1).split("&")) {
      int eq = f.indexOf('=');
      query.put(f.substring(0, eq), URLDecoder.decode(f.substring(eq + 1), StandardCharsets.UTF_8));
    }
    boolean watch = target.startsWith("/kv-watch");
    String body = watch ? watch(s, query) : range(query);
    if (body == null || silent.contains(s)) {
      return;
    }
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length
            + "\r\n\r\n";
    s.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    s.getOutputStream().write(bytes);
    s.getOutputStream().flush();
  }

  private synchronized String range(Map<String, String> query) {
    String prefix = query.getOrDefault("prefix", "");
    List<String> found = new ArrayList<>();
    List<String> keys = new ArrayList<>();
    items
        .tailMap(query.getOrDefault("after", ""), false)
        .forEach(
            (k, v) -> {
              if (k.startsWith(prefix)) {
                found.add(v);
                keys.add(k);
              }
            });
    record.add("store: all items read at revision %d: %s", revision, String.join(" ", keys));
    return "{\"items\":[" + String.join(",", found) + "],\"has-more\":false,\"current-rev\":"
        + revision + "}";
  }

  private synchronized String watch(Socket s, Map<String, String> query)
      throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long begin = System.nanoTime();
    long waitMillis = Long.parseLong(query.get("wait-ms"));
    while (revision <= after) {
      long spent = (System.nanoTime() - begin) / 1_000_000;
      int cut = cutWatchAfterMillis;
      if (cut > 0 && spent >= cut) {
        record.add("store: a waiting watch is cut after %d ms", spent);
        return null;
      }
      if (spent >= waitMillis) {
        break;
      }
      wait(20);
    }
    List<String> found = new ArrayList<>();
    for (int i = 0; i < events.size(); i++) {
      if (revisions.get(i)[0] > after) {
        found.add(events.get(i));
      }
    }
    return "{\"events\":[" + String.join(",", found) + "],\"current-rev\":" + revision + "}";
  }

  @Override
  public void close() throws IOException {
    listener.close();
    open.forEach(this::close);
    silent.forEach(this::close);
  }
}
