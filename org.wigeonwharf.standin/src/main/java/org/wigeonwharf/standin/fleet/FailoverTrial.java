package org.wigeonwharf.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** Kills or freezes the scheduler of a small fleet and measures when requests are served again. */
public final class FailoverTrial implements AutoCloseable {
  private static final String DOMAIN = "hobart-a";
  private static final String SHARD = "assistant/hobart-a/0";
  private static final int ROUTERS = 4;
  private static final int SLOTS = 16;
  private static final long TOKEN_MILLIS = 2;
  private static final String SETTINGS_FILE = "95-trial.toml";

  /**
   * Keeps the scheduler from refusing requests early for lack of time, so that a refusal means that
   * a waiting request was lost.
   */
  private static final String CLASS_SETTINGS =
      "[classes.crew-question]\ndeadline = \"60s\"\nestimated_tokens = 1\n";

  private static final long REQUEST_INTERVAL_MILLIS = 20;
  private static final long SETTLE_MILLIS = 1_000;
  private static final long RECOVERY_TIMEOUT_MILLIS = 20_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(60);

  private final Fleet fleet;
  private final HttpClient http = HttpClient.newHttpClient();
  private final ObjectMapper json = new ObjectMapper();
  private final Set<String> lostRouters = new HashSet<>();

  /**
   * Counts and times the requests that callers sent after one fault.
   *
   * @param firstAnswerMillis time from the fault to the first complete answer, in milliseconds
   * @param answered number of requests answered with status 200
   * @param refused number of requests that were refused or failed
   */
  public record Result(long firstAnswerMillis, int answered, int refused) {}

  private record Answer(int status, long atNanos) {}

  /**
   * Starts four routers and one engine in one failure domain and waits until they are ready.
   *
   * @param config folder of the operators' settings files
   * @throws IOException if a process can't be started or the routers don't become ready
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public FailoverTrial(Path config) throws IOException, InterruptedException {
    fleet = new Fleet(config);
    fleet.addEngine("assistant", "a1", DOMAIN, SLOTS, TOKEN_MILLIS);
    for (int i = 0; i < ROUTERS; i++) {
      fleet.addRouter("vm" + i, DOMAIN);
    }
    fleet.publishFile(SETTINGS_FILE, CLASS_SETTINGS);
    fleet.publish();
    fleet.awaitReady();
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
  }

  /**
   * Finds the router that schedules the only model shard.
   *
   * @return its name
   * @throws IOException if no running router is its scheduler
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public String scheduler() throws IOException, InterruptedException {
    for (String name : runningRouters()) {
      JsonNode dump = json.readTree(fleet.get(addresses(name).operators(), "/dump"));
      if (dump.path("schedule").path("scheduler_of").has(SHARD)) {
        return name;
      }
    }
    throw new IOException("no running router is the scheduler of " + SHARD);
  }

  private Collection<String> runningRouters() {
    return fleet.routers().keySet().stream().filter(n -> !lostRouters.contains(n)).toList();
  }

  private Fleet.RouterAddresses addresses(String name) {
    Fleet.RouterAddresses r = fleet.routers().get(name);
    if (r == null) {
      throw new IllegalArgumentException("no router is named " + name);
    }
    return r;
  }

  /**
   * Kills the scheduler's process and sends requests to the other routers.
   *
   * @return the outcome of these requests
   * @throws IOException if there is no scheduler or no request succeeds within 20 s
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public Result killScheduler() throws IOException, InterruptedException {
    String name = scheduler();
    lostRouters.add(name);
    fleet.process(name).kill();
    return measureRecovery();
  }

  /**
   * Freezes the scheduler's process by SIGSTOP and sends requests to the other routers.
   *
   * @return the outcome of these requests
   * @throws IOException if there is no scheduler or no request succeeds within 20 s
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public Result freezeScheduler() throws IOException, InterruptedException {
    String name = scheduler();
    lostRouters.add(name);
    fleet.process(name).freeze();
    return measureRecovery();
  }

  /**
   * Resumes a frozen router and sends requests to all running routers, this one included.
   *
   * @param name the frozen router's name
   * @return the outcome of these requests
   * @throws IOException if no request succeeds within 20 s
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  public Result thawRouter(String name) throws IOException, InterruptedException {
    fleet.process(name).thaw();
    lostRouters.remove(name);
    return measureRecovery();
  }

  private Result measureRecovery() throws IOException, InterruptedException {
    final long start = System.nanoTime();
    ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
    List<String> names = new ArrayList<>(runningRouters());
    int sent = 0;
    while (answers.stream().noneMatch(a -> a.status() == 200)) {
      if (System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(RECOVERY_TIMEOUT_MILLIS)) {
        throw new IOException("no successful response after " + sent + " requests: " + answers);
      }
      sendRequest(names.get(sent++ % names.size()), answers);
      TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
    }
    while (answers.size() < sent) {
      TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
    }
    long first =
        answers.stream()
            .filter(a -> a.status() == 200)
            .mapToLong(a -> a.atNanos() - start)
            .min()
            .orElseThrow();
    int answered = (int) answers.stream().filter(a -> a.status() == 200).count();
    return new Result(TimeUnit.NANOSECONDS.toMillis(first), answered, sent - answered);
  }

  private void sendRequest(String router, ConcurrentLinkedQueue<Answer> answers) {
    HttpRequest request =
        HttpRequest.newBuilder(Fleet.uri(addresses(router).callers(), "/v1/chat/completions"))
            .header("Authorization", "Bearer demo-theatre-royal")
            .timeout(REQUEST_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString("{\"max_tokens\":1,\"stream\":false}"))
            .build();
    http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .handle((r, e) -> answers.add(new Answer(e == null ? r.statusCode() : -1, now())));
  }

  private static long now() {
    return System.nanoTime();
  }

  @Override
  public void close() {
    fleet.close();
  }
}
