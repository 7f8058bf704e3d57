import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Stands in for one server of a service. */
final class Backend implements AutoCloseable {
  /** One request that began to run here. */
  record Run(double at, String server, String id, Http.Message request) {}

  /** Writes the answer to a request that runs. */
  interface Work {
    void answer(Backend server, Http.Message request, OutputStream out) throws Exception;
  }

  final String id;
  final String service;
  final String zone;
  int slots = 6;
  final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
  private final Record record;
  private final Work work;
  private final ServerSocket listener;

  Backend(Record record, String id, String service, String zone, Work work) throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.work = work;
    listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  private static void daemon(Runnable action) {
    Thread t = new Thread(action);
    t.setDaemon(true);
    t.start();
  }

  /** Returns the ids of the requests that have run here so far. */
  Set<String> ids() {
    synchronized (runs) {
      Set<String> ids = new HashSet<>();
      runs.forEach(r -> ids.add(r.id()));
      return ids;
    }
  }

  String key() {
    return "servers/" + id;
  }

  String entry(String state) {
    return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
            + "\"slots\":%d,\"state\":\"%s\",\"cold-left-ms\":0,\"sequence\":1,"
            + "\"born\":1700000000000}")
        .formatted(service, listener.getLocalPort(), zone, slots, state);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket s = listener.accept();
        daemon(() -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try (s) {
      s.setTcpNoDelay(true);
      Http.Message m;
      while ((m = Http.read(s.getInputStream(), false)) != null) {
        if (!m.complete()) {
          return;
        }
        String expected = m.header("X-Wigeonwharf-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
          write(s.getOutputStream(), 421, m, "X-Wigeonwharf-Instance-Id: " + id + "\r\n", "");
          continue;
        }
        String requestId = m.header("X-Wigeonwharf-Request-Id");
        runs.add(new Run(record.now(), id, requestId, m));
        record.add("server %s (%s): runs %s %s", id, service, requestId, m.firstLine());
        work.answer(this, m, s.getOutputStream());
      }
    } catch (Exception e) {
      // The router has closed the channel.
    }
  }

  static void write(OutputStream out, int status, Http.Message m, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
    String head =
        "HTTP/1.1 %d X\r\nX-Wigeonwharf-Request-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
            .formatted(status, m.header("X-Wigeonwharf-Request-Id"), bytes.length, headers);
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(bytes);
    out.flush();
  }

  /** Writes a whole answer with the seal of this server. */
  void answer(OutputStream out, int status, Http.Message m, String body) throws IOException {
    write(out, status, m, sealed(), body);
  }

  String sealed() {
    return "X-Wigeonwharf-Server-Seal: " + id + ".1.1\r\nX-Wigeonwharf-Server-Load: 1,0,6\r\n";
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
