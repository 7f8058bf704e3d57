package org.wigeonwharf.standin.restart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wigeonwharf.standin.fleet.Fleet;
import org.wigeonwharf.standin.fleet.FleetProcess;

/** Starts a fleet, sends it a steady load and restarts its routers one after the other. */
final class RestartRun implements AutoCloseable {
  private static final String DOMAIN = "hobart-a";
  private static final List<String> ROUTERS = List.of("vm1", "vm2", "vm3");
  private static final int STREAM_CALLERS = 4;
  private static final int BOOKING_CALLERS = 4;
  private static final int ENGINE_SLOTS = 8;
  private static final long TOKEN_MILLIS = 20;
  private static final long BOOKING_DELAY_MILLIS = 200;
  private static final long STEADY_STATE_MILLIS = 2_000;
  private static final long EXIT_TIMEOUT_SECONDS = 60;
  private static final long CALLERS_TIMEOUT_SECONDS = 90;

  private final Fleet fleet;
  private final long retryDelayMillis;
  private final InetSocketAddress bookingAddress;
  private final RoundRobinBalancer balancer = new RoundRobinBalancer();
  private final RestartResults results = new RestartResults();
  private final ExecutorService callers =
      Executors.newFixedThreadPool(STREAM_CALLERS + BOOKING_CALLERS);
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean stopped;

  /** A request that a caller repeats until the run ends. */
  private interface Call {
    void run() throws InterruptedException;
  }

  RestartRun(Path config, long retryDelayMillis) throws IOException, InterruptedException {
    this.retryDelayMillis = retryDelayMillis;
    fleet = new Fleet(config);
    fleet.addEngine("assistant", "a1", DOMAIN, ENGINE_SLOTS, TOKEN_MILLIS);
    fleet.addEngine("assistant", "a2", DOMAIN, ENGINE_SLOTS, TOKEN_MILLIS);
    bookingAddress = fleet.addBooking("booking", "b1", DOMAIN);
    fleet.post(bookingAddress, "/control/delay?ms=" + BOOKING_DELAY_MILLIS, "");
    for (String name : ROUTERS) {
      fleet.addRouter(name, DOMAIN);
    }
    publishAndAwaitReady();
  }

  private void publishAndAwaitReady() throws IOException, InterruptedException {
    fleet.publish();
    fleet.awaitReady();
    balancer.setRouters(
        fleet.routers().values().stream().map(Fleet.RouterAddresses::callers).toList());
  }

  /**
   * Restarts every router once under load.
   *
   * @param title first column of the row
   * @param keyed whether bookings carry an idempotency key
   * @param graceful whether routers are stopped gracefully; otherwise they are killed
   * @return a row of the table of {@link RestartResults}
   * @throws IOException if a process can't be started, or a router or caller doesn't stop in time
   * @throws InterruptedException if the calling thread is interrupted while waiting
   */
  String run(String title, boolean keyed, boolean graceful)
      throws IOException, InterruptedException {
    RouterClient client = new RouterClient(balancer);
    StreamCaller streamCaller = new StreamCaller(client, results);
    BookingCaller bookingCaller = new BookingCaller(client, results, keyed, retryDelayMillis);
    startCallers(STREAM_CALLERS, streamCaller::requestStream);
    startCallers(BOOKING_CALLERS, bookingCaller::makeBooking);
    for (String name : ROUTERS) {
      Thread.sleep(STEADY_STATE_MILLIS);
      restart(name, graceful);
    }
    Thread.sleep(STEADY_STATE_MILLIS);
    stopped = true;
    callers.shutdown();
    if (!callers.awaitTermination(CALLERS_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IOException("the callers did not finish in time");
    }
    return results.tableRow(title, actionsPerSlot());
  }

  private void startCallers(int count, Call call) {
    for (int i = 0; i < count; i++) {
      callers.execute(() -> callUntilStopped(call));
    }
  }

  private void callUntilStopped(Call call) {
    try {
      while (!stopped) {
        call.run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void restart(String name, boolean graceful) throws IOException, InterruptedException {
    FleetProcess process = fleet.process(name);
    if (graceful) {
      process.terminate();
    } else {
      process.kill();
    }
    if (process.awaitExit(EXIT_TIMEOUT_SECONDS) == -1) {
      throw new IOException(name + " did not exit in time");
    }
    fleet.addRouter(name, DOMAIN);
    publishAndAwaitReady();
  }

  /** Returns how often the booking service has booked each slot. */
  private Map<String, Integer> actionsPerSlot() throws IOException, InterruptedException {
    ObjectMapper json = new ObjectMapper();
    Map<String, Integer> counts = new HashMap<>();
    for (JsonNode action : json.readTree(fleet.get(bookingAddress, "/control/actions"))) {
      counts.merge(json.readTree(action.asText()).path("slot").asText(), 1, Integer::sum);
    }
    return counts;
  }

  @Override
  public void close() {
    stopped = true;
    callers.shutdownNow();
    if (closed.compareAndSet(false, true)) {
      fleet.close();
    }
  }
}
