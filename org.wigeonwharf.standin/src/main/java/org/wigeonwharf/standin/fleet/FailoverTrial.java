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

/** A FailoverTrial takes the scheduler away from a small fleet while requests keep coming. */
public final class FailoverTrial implements AutoCloseable {
  private static final String DOMAIN = "hobart-a";
  private static final String SHARD = "assistant/hobart-a/0";
  private static final int ROUTERS = 4;
  private static final int SLOTS = 16;
  private static final long TOKEN_MILLIS = 2;
  private static final String SETTINGS_FILE = "95-trial.toml";

  /** Takes the early refusal out of play: only a lost waiter can then be refused. */
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
   * A Result is what callers saw of one loss of the scheduler.
   *
   * @param firstAnswerMillis time from the loss to the first whole answer to a later request
   * @param answered later requests that were answered
   * @param refused later requests that got anything but a whole answer
   */
  public record Result(long firstAnswerMillis, int answered, int refused) {}

  private record Answer(int status, long atNanos) {}

  /**
   * Starts four routers of one failure domain and one engine.
   *
   * @param config the operators' folder
   * @throws IOException if something can't be started
   * @throws InterruptedException if the waiting thread is interrupted
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
   * Finds the router with the scheduler role of the only model shard.
   *
   * @return its name
   * @throws IOException if no router has the role
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public String scheduler() throws IOException, InterruptedException {
    for (String name : runningRouters()) {
      JsonNode dump = json.readTree(fleet.get(addresses(name).operators(), "/dump"));
      if (dump.path("schedule").path("scheduler_of").has(SHARD)) {
        return name;
      }
    }
    throw new IOException("no router schedules " + SHARD);
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
   * Kills the scheduler's process.
   *
   * @return what callers of the other routers saw
   * @throws IOException if no answer comes at all
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public Result killScheduler() throws IOException, InterruptedException {
    String name = scheduler();
    lostRouters.add(name);
    fleet.process(name).kill();
    return measureRecovery();
  }

  /**
   * Freezes the scheduler's process.
   *
   * @return what callers of the other routers saw
   * @throws IOException if no answer comes at all
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public Result freezeScheduler() throws IOException, InterruptedException {
    String name = scheduler();
    lostRouters.add(name);
    fleet.process(name).freeze();
    return measureRecovery();
  }

  /**
   * Lets all frozen processes go on.
   *
   * @param name the frozen router
   * @return what callers saw, those of the woken router included
   * @throws IOException if no answer comes at all
   * @throws InterruptedException if the waiting thread is interrupted
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
        throw new IOException("no answer after " + sent + " requests: " + answers);
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
