import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each server that begins to write an answer on it. Some time after the
 * fifth crash requests with that part must not reach servers any more.
 */
final class CrashingPart {
  private static final String BAD_PART = "bad0bad0";
  private static final int SERVERS = 8;

  /** Time from the first event of an answer to the crash. */
  private static final int CRASH_MILLIS = Integer.getInteger("crash", 250);

  private static final int EVENT_MILLIS = 50;
  private static final int EVENTS = 12;
  private static final double CONTACT_SECONDS = 4;

  private final Lab lab;
  private final List<Double> crashes = Collections.synchronizedList(new ArrayList<>());
  private final List<Double> reached = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger unserved = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private volatile boolean stopped;
  private Lab.Store store;

  private CrashingPart(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.run(args[0], lab -> new CrashingPart(lab).body());
  }

  private void body() throws Exception {
    store = lab.store();
    List<String> zones = List.of("zone-a", "zone-b", "zone-c");
    for (int i = 0; i < SERVERS; i++) {
      new Engine(zones.get(i % 3)).start();
    }
    String engine =
        "{\"name\":\"assistant\",\"health-path\":\"/health\",\"max-conns\":620,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":64,\"kv-capacity\":569993,"
            + "\"kv-token-bytes\":18432,\"link-mbps\":180000.0,\"models\":[{\"name\":\"m\"}]}}";
    store.put(
        "op/config",
        Lab.config(
            7,
            List.of(Lab.route("bench", "streaming", 12_000, 400, "assistant", 2, true)),
            List.of(engine)));
    List<Lab.Router> routers = new ArrayList<>();
    zones.forEach(z -> routers.add(lab.router("front-" + z, z)));
    List<String> seeds = routers.stream().map(Lab.Router::peers).toList();
    for (Lab.Router r : routers) {
      r.start(store, seeds, zones);
    }
    for (Lab.Router r : routers) {
      if (!r.awaitReady(20_000)) {
        lab.finish(2, r.name + " did not become ready");
      }
    }
    Lab.thread(() -> send(routers, 15, false));
    Lab.sleep(5_000);
    lab.log("requests with the part " + BAD_PART + " begin, two a second");
    Lab.thread(() -> send(routers, 2, true));
    for (int i = 0; i < 5; i++) {
      Lab.sleep(10_000);
      lab.log(
          crashes.size() + " crashes; requests with the part that reached a server " + reached.size()
              + "; sound requests served " + served + ", not served " + unserved);
    }
    stopped = true;
    int late = 0;
    if (crashes.size() >= 5) {
      double from = crashes.get(4) + CONTACT_SECONDS;
      lab.log(String.format("the fifth crash was at %.3f; counted from %.3f", crashes.get(4), from));
      late = (int) reached.stream().filter(t -> t > from).count();
    }
    lab.finish(
        late > 3 ? 1 : 0,
        late + " requests with the part reached servers later than contact-ms after the fifth crash; "
            + crashes.size() + " crashes in all");
  }

  private void send(List<Lab.Router> routers, double perSecond, boolean bad) {
    Random random = new Random(bad ? 2 : 1);
    for (int n = 0; !stopped; n++) {
      Lab.Router r = routers.get(random.nextInt(routers.size()));
      String id = String.format("%s%015x", bad ? "b" : "a", n);
      String own = String.format("%08x", random.nextInt());
      String parts = "5c1e07a2:120," + (bad ? BAD_PART : "91bd3f06") + ":80," + own + ":200";
      Lab.thread(() -> ask(r, id, parts, bad));
      Lab.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
    }
  }

  private void ask(Lab.Router r, String id, String parts, boolean bad) {
    try (Socket s = r.connect()) {
      s.setSoTimeout(13_000);
      String head = Lab.requestHead("POST", "/bench/x", id, 12_000, 0);
      s.getOutputStream()
          .write(
              Lab.ascii(
                  head.substring(0, head.length() - 2)
                      + "X-Wigeonwharf-Model: m\r\nX-Wigeonwharf-Token-Count: 400,60\r\n"
                      + "X-Wigeonwharf-Prompt-Prefix: " + parts + "\r\n\r\n"));
      Lab.Message m = Lab.readHead(s.getInputStream());
      if (m != null) {
        Lab.readBody(s.getInputStream(), m, true);
      }
      if (!bad) {
        (m != null && m.status() == 200 && m.complete ? served : unserved).incrementAndGet();
      }
    } catch (Exception e) {
      if (!bad) {
        unserved.incrementAndGet();
      }
    }
  }

  /** A model server, which starts again under a new id three seconds after a crash. */
  private final class Engine {
    private final String zone;
    private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());
    private Lab.Backend backend;
    private volatile boolean crashed;

    Engine(String zone) {
      this.zone = zone;
    }

    void start() throws Exception {
      backend = lab.backend("i-" + runs.incrementAndGet(), "assistant", zone, 64, 0, this::answer);
      backend.publish(store, "ready");
    }

    private void answer(Lab.Backend server, Socket socket, InputStream in, Lab.Message request)
        throws Exception {
      sockets.add(socket);
      String id = request.header("x-wigeonwharf-request-id");
      boolean bad = request.header("x-wigeonwharf-prompt-prefix").contains(BAD_PART);
      if (bad) {
        reached.add(lab.seconds());
        lab.log("request " + id + " with the part reaches " + server.id);
      }
      Lab.sleep(40);
      String lastId = request.header("last-event-id");
      int first = lastId == null ? 0 : Integer.parseInt(lastId);
      OutputStream out = socket.getOutputStream();
      out.write(
          Lab.ascii(
              "HTTP/1.1 200 OK\r\nX-Wigeonwharf-Request-Id: " + id
                  + "\r\nX-Wigeonwharf-Server-Seal: 3e1b.07." + id
                  + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
                  + "\r\nConnection: close\r\n\r\n"));
      long begin = System.nanoTime();
      for (int i = first; i < EVENTS; i++) {
        String event = "id: " + (i + 1) + "\ndata: piece\n\n";
        out.write(Lab.ascii(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
        out.flush();
        Lab.sleep(EVENT_MILLIS);
        if (bad && Lab.trouble() && System.nanoTime() - begin >= CRASH_MILLIS * 1_000_000L) {
          crash();
          return;
        }
      }
      out.write(Lab.ascii("0\r\n\r\n"));
      out.flush();
      sockets.remove(socket);
    }

    private synchronized void crash() throws Exception {
      if (crashed) {
        return;
      }
      crashed = true;
      crashes.add(lab.seconds());
      lab.log("server " + backend.id + " crashes");
      backend.close();
      List.copyOf(sockets).forEach(Lab::reset);
      String id = backend.id;
      Lab.thread(
          () -> {
            try {
              Lab.sleep(3_000);
              new Engine(zone).start();
              Lab.sleep(600);
              // Its entry is removed after three heartbeats of silence.
              store.delete("servers/" + id);
            } catch (Exception e) {
              lab.log("a server did not start again: " + e);
            }
          });
    }
  }
}
