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

/** A RestartRun starts a fleet, loads it, and restarts its routers one after the other. */
final class RestartRun implements AutoCloseable {
  private static final String DOMAIN = "hobart-a";
  private static final List<String> ROUTERS = List.of("vm1", "vm2", "vm3");
  private static final int STREAM_CALLERS = 4;
  private static final int BOOKING_CALLERS = 4;
  private static final int ENGINE_SLOTS = 8;
  private static final long TOKEN_MILLIS = 20;
  private static final long BOOKING_MILLIS = 200;
  private static final long STEADY_MILLIS = 2_000;
  private static final long EXIT_SECONDS = 60;
  private static final long CALLERS_END_SECONDS = 90;

  private final Fleet fleet;
  private final long pauseMillis;
  private final InetSocketAddress booking;
  private final RouterChoice choice = new RouterChoice();
  private final RestartTally tally = new RestartTally();
  private final ExecutorService callers =
      Executors.newFixedThreadPool(STREAM_CALLERS + BOOKING_CALLERS);
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean ended;

  /** One call of a caller. */
  private interface Call {
    void run() throws InterruptedException;
  }

  RestartRun(Path config, long pauseMillis) throws IOException, InterruptedException {
    this.pauseMillis = pauseMillis;
    fleet = new Fleet(config);
    fleet.addEngine("assistant", "a1", DOMAIN, ENGINE_SLOTS, TOKEN_MILLIS);
    fleet.addEngine("assistant", "a2", DOMAIN, ENGINE_SLOTS, TOKEN_MILLIS);
    booking = fleet.addBooking("booking", "b1", DOMAIN);
    fleet.post(booking, "/control/delay?ms=" + BOOKING_MILLIS, "");
    for (String name : ROUTERS) {
      fleet.addRouter(name, DOMAIN);
    }
    ready();
  }

  private void ready() throws IOException, InterruptedException {
    fleet.publish();
    fleet.awaitReady();
    choice.set(fleet.routers().values().stream().map(Fleet.RouterAddresses::callers).toList());
  }

  /** Restarts every router once; a graceful stop is asked for, else the process is killed. */
  String run(String title, boolean keyed, boolean graceful)
      throws IOException, InterruptedException {
    RouterCalls calls = new RouterCalls(choice);
    StreamCaller streams = new StreamCaller(calls, tally);
    BookingCaller bookings = new BookingCaller(calls, tally, keyed, pauseMillis);
    repeat(STREAM_CALLERS, streams::call);
    repeat(BOOKING_CALLERS, bookings::call);
    for (String name : ROUTERS) {
      Thread.sleep(STEADY_MILLIS);
      restart(name, graceful);
    }
    Thread.sleep(STEADY_MILLIS);
    ended = true;
    callers.shutdown();
    if (!callers.awaitTermination(CALLERS_END_SECONDS, TimeUnit.SECONDS)) {
      throw new IOException("a caller did not end");
    }
    return tally.row(title, actions());
  }

  private void repeat(int count, Call call) {
    for (int i = 0; i < count; i++) {
      callers.execute(() -> callUntilEnd(call));
    }
  }

  private void callUntilEnd(Call call) {
    try {
      while (!ended) {
        call.run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void restart(String name, boolean graceful) throws IOException, InterruptedException {
    FleetProcess p = fleet.process(name);
    if (graceful) {
      p.terminate();
    } else {
      p.kill();
    }
    if (p.awaitExit(EXIT_SECONDS) == -1) {
      throw new IOException(name + " did not stop");
    }
    fleet.addRouter(name, DOMAIN);
    ready();
  }

  private Map<String, Integer> actions() throws IOException, InterruptedException {
    ObjectMapper json = new ObjectMapper();
    Map<String, Integer> counts = new HashMap<>();
    for (JsonNode action : json.readTree(fleet.get(booking, "/control/actions"))) {
      counts.merge(json.readTree(action.asText()).path("slot").asText(), 1, Integer::sum);
    }
    return counts;
  }

  @Override
  public void close() {
    ended = true;
    callers.shutdownNow();
    if (closed.compareAndSet(false, true)) {
      fleet.close();
    }
  }
}
