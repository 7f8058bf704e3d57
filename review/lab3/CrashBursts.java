import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One shared part of a prompt crashes each server that begins to write an answer on it. Requests
 * with it come three at a time, every five seconds, among sound ones. Checks BUDGET: at most three
 * of them reach servers later than {@code contact-ms} after the fifth crash.
 */
final class CrashBursts {
  private static final String SERVICE = "drapery-assistant";
  private static final int SERVERS = 9;
  private static final int BURST = 3;
  private static final double FIRST_BURST_SECONDS = 5;
  private static final double BURST_INTERVAL_SECONDS = 5;
  private static final int BURSTS = 6;
  private static final double CONTACT_SECONDS = 4;
  private static final long RESTART_MILLIS = 2_500;
  private static final int ALLOWED = 3;
  private static final String POISON = "dead0001";

  private CrashBursts() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Lab lab = new Lab(args[0])) {
      code = run(lab);
    } finally {
      System.exit(code);
    }
  }

  private static int run(Lab lab) throws IOException {
    List<String> zones = List.of("hobart-a", "launceston-a", "burnie-a");
    List<Double> crashes = Collections.synchronizedList(new ArrayList<>());
    Map<String, Double> sentAt = new ConcurrentHashMap<>();
    List<Double> arrivals = Collections.synchronizedList(new ArrayList<>());
    Lab.Handler handler =
        (server, r, e) -> {
          boolean poisoned = r.header("x-wigeonwharf-prompt-prefix").contains(POISON);
          if (poisoned) {
            lab.log("request %s with the part reaches %s", r.id(), server.id);
            arrivals.add(sentAt.get(r.id()));
          }
          Lab.sleep(60);
          e.beginStream();
          if (poisoned && Lab.troubled()) {
            crash(lab, server, crashes);
            return;
          }
          for (int i = 1; i <= 5; i++) {
            e.event(i, "piece");
            Lab.sleep(20);
          }
          e.endStream();
        };
    for (int i = 0; i < SERVERS; i++) {
      lab.new Backend("i-" + i, SERVICE, zones.get(i % 3), 64, 10 + i, handler).start();
    }
    lab.configure(
        1,
        List.of(Lab.modelService(SERVICE, 64)),
        List.of(
            Lab.route(
                "swatch-label",
                "streaming",
                SERVICE,
                1,
                3_000,
                ",\"sticky\":true,\"slo-ms\":600,\"gap-aim-ms\":400")));
    lab.startRouters(zones);
    AtomicInteger served = new AtomicInteger();
    AtomicInteger sent = new AtomicInteger();
    for (int burst = 0; burst < BURSTS; burst++) {
      int number = burst;
      lab.threads.execute(
          () -> {
            Lab.sleep((long) ((FIRST_BURST_SECONDS + number * BURST_INTERVAL_SECONDS) * 1_000));
            for (int i = 0; i < BURST; i++) {
              int router = i;
              lab.threads.execute(
                  () -> sendPoisoned(lab, lab.routers.get(router), number, router, sentAt));
            }
          });
    }
    Load.at(
        lab,
        30,
        FIRST_BURST_SECONDS + BURSTS * BURST_INTERVAL_SECONDS,
        n -> {
          Lab.Router router = lab.routers.get(n % 3);
          String id = lab.nextRequestId();
          sent.incrementAndGet();
          Lab.Answer a =
              lab.send(
                  router,
                  id,
                  "swatch-label",
                  prompt("5e" + n % 9 + "00001", "d0c" + n % 13 + "0001", "aa" + id),
                  3_000,
                  4_000);
          served.addAndGet(a.isSuccess() ? 1 : 0);
          if (!a.isSuccess()) {
            lab.log("sound request %s at %s: %s", id, router, a);
          }
        });
    return judge(lab, crashes, arrivals, sent.get(), served.get());
  }

  private static String prompt(String system, String document, String own) {
    return "X-Wigeonwharf-Model: m\r\nX-Wigeonwharf-Token-Count: 1460,80\r\n"
        + "X-Wigeonwharf-Prompt-Prefix: "
        + system
        + ":800,"
        + document
        + ":410,"
        + own
        + ":250\r\n";
  }

  private static void sendPoisoned(
      Lab lab, Lab.Router router, int burst, int i, Map<String, Double> sentAt) {
    String id = lab.nextRequestId();
    sentAt.put(id, lab.seconds());
    String system = "5e" + (burst * BURST + i) % 9 + "00001";
    Lab.Answer a =
        lab.send(router, id, "swatch-label", prompt(system, POISON, "bb" + id), 3_000, 4_000);
    lab.log("request %s with the part, burst %d, at %s: %s", id, burst + 1, router, a);
  }

  private static void crash(Lab lab, Lab.Backend server, List<Double> crashes) {
    synchronized (server) {
      if (!server.up) {
        return;
      }
      crashes.add(lab.seconds());
      server.crash();
    }
    lab.threads.execute(
        () -> {
          Lab.sleep(RESTART_MILLIS);
          try {
            server.start();
          } catch (IOException e) {
            lab.say("server %s can't start: %s", server.id, e);
          }
        });
  }

  private static int judge(
      Lab lab, List<Double> crashes, List<Double> arrivals, int sent, int served) {
    Collections.sort(crashes);
    double fifth = crashes.size() < 5 ? Double.MAX_VALUE : crashes.get(4);
    long late = arrivals.stream().filter(at -> at > fifth + CONTACT_SECONDS).count();
    lab.say(
        "BUDGET: %d crashes, the fifth at %.1f s; %d requests with the part reached servers, %d of"
            + " them sent later than %.0f s after it (allowed %d); %d of %d sound requests served",
        crashes.size(),
        crashes.size() < 5 ? -1 : fifth,
        arrivals.size(),
        late,
        CONTACT_SECONDS,
        ALLOWED,
        served,
        sent);
    if (served < sent / 2 || Lab.troubled() && crashes.size() < 5) {
      return 2;
    }
    return late > ALLOWED ? 1 : 0;
  }
}
