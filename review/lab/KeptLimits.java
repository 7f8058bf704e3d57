import java.util.ArrayList;
import java.util.List;

/** A new configuration raises the size of bodies while clients keep their channels open. */
final class KeptLimits extends Case {
  private static final int SMALL = 65_536;
  private static final int LARGE = 1_048_576;
  private static final int CHANNELS = 8;
  private static final int ROUNDS = 6;
  private static final String HEADERS =
      "X-Wigeonwharf-Request-Deadline: 4000\r\nAuthorization: Bearer key-one\r\nContent-Length: ";

  public static void main(String[] args) throws Exception {
    new KeptLimits().run(args[0]);
  }

  private static String config(int version, int maxBodyBytes) {
    return new Config()
        .service("bookings")
        .route("/book/", "unsafe", "bookings", ",\"timeout-ms\":2000,\"max-attempts\":1")
        .tenant("t1", "key-one")
        .maxBodyBytes(maxBodyBytes)
        .json(version);
  }

  private String send(Client c, Router r, int bytes) throws Exception {
    String id = Traffic.newId();
    double at = record.now();
    byte[] head = Client.head("POST", "/book/2f", "app.example", id, HEADERS + bytes + "\r\n");
    String result;
    try {
      c.send(head);
      c.send(new byte[bytes]);
      result = c.result(5_000);
    } catch (java.io.IOException e) {
      result = "reset";
    }
    record.add("client: %s with %d bytes sent to %s at %.1f, got %s", id, bytes, r.name, at, result);
    return result;
  }

  @Override
  int play() throws Exception {
    Backend.Work work =
        (b, m, out) -> {
          sleep(20);
          b.answer(out, 200, m, "booked " + m.header("X-Wigeonwharf-Request-Id"));
        };
    backend("i-a", "bookings", "hobart-a", work);
    backend("i-b", "bookings", "launceston-a", work);
    backend("i-c", "bookings", "burnie-a", work);
    // Without the trouble, the limit is the higher one from the beginning.
    store.put("op/config", config(7, trouble ? SMALL : LARGE));
    if (!startRouters(
        "front-a-1", "hobart-a", "front-b-1", "launceston-a", "front-c-1", "burnie-a")) {
      return NOT_RUN;
    }
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CHANNELS * routers.size(); i++) {
      clients.add(new Client(routers.get(i % routers.size()).front));
    }
    for (int i = 0; i < clients.size(); i++) {
      if (!send(clients.get(i), routers.get(i % routers.size()), 20_000).equals("200")) {
        return NOT_RUN;
      }
    }
    sleep(2_000);
    store.put("op/config", config(9, LARGE));
    double ackAt = record.now();
    // The channels stay in use, as those of clients are, and are never idle for long.
    for (int i = 0; i < 4; i++) {
      sleep(1_500);
      for (int k = 0; k < clients.size(); k++) {
        send(clients.get(k), routers.get(k % routers.size()), 20_000);
      }
    }
    double from = record.now();
    int sent = 0;
    int denied = 0;
    int fresh = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (int k = 0; k < clients.size(); k++) {
        Router r = routers.get(k % routers.size());
        String result = send(clients.get(k), r, 200_000);
        sent++;
        if (result.equals("413")) {
          denied++;
          // A client doesn't retry after 413; its next request takes a new channel.
          clients.get(k).close();
          clients.set(k, new Client(r.front));
          fresh++;
        }
      }
      sleep(300);
    }
    record.say(
        "requests with 200,000 bytes, from %.0f ms after the ack that allows 1,048,576: %d, ended"
            + " with 413: %d; new channels: %d",
        from - ackAt, sent, denied, fresh);
    for (Client c : clients) {
      c.close();
    }
    return denied > 5 + sent / 500.0 ? BROKEN : HELD;
  }
}
