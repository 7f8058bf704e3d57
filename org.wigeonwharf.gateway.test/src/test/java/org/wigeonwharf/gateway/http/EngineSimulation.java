package org.wigeonwharf.gateway.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeAttempt;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.model.Clock;

/**
 * Simulates model servers in virtual time, which crash when they begin to answer a prompt with a
 * given part and are replaced some seconds later.
 */
final class EngineSimulation {
  private static final long PREFILL_MILLIS = 80;
  private static final long STREAM_MILLIS = 600;
  private static final long EVENT_MILLIS = 50;

  /** Time from the head of an answer that crashes the server to the crash. */
  private static final long CRASH_DELAY_MILLIS = 60;

  private static final long RESTART_MILLIS = 2_500;
  private static final long EXPIRY_MILLIS = 2_000;

  private final ExchangeFixture fixture;
  private final String crashingPart;
  private final Map<String, List<FakeAttempt>> running = new HashMap<>();
  private final Set<String> down = new HashSet<>();
  private final List<Long> crashTimes = new ArrayList<>();
  private final List<Long> crashingSends = new ArrayList<>();
  private final Map<FakeCaller, Runnable> begun = new HashMap<>();
  private int lastServer;

  EngineSimulation(ExchangeFixture fixture, String crashingPart, int servers) {
    this.fixture = fixture;
    this.crashingPart = crashingPart;
    for (int i = 0; i < servers; i++) {
      addServer();
    }
    fixture.onAttempt = this::accept;
    fixture.liveness = s -> isDown(s) ? LivenessCheck.Result.ENDED : LivenessCheck.Result.ALIVE;
  }

  private void addServer() {
    fixture.directory.put(ExchangeFixture.server("engine" + ++lastServer, false));
    fixture.exchanges.retryHeld();
  }

  private void after(long millis, Runnable action) {
    fixture.timers.schedule(millis * Clock.NANOS_PER_MILLI, action);
  }

  boolean isDown(BackendServer server) {
    return down.contains(server.id());
  }

  private void accept(FakeAttempt attempt) {
    List<String> parts = List.of(attempt.request.headers().get(TestProtocol.PARTS).split(","));
    boolean crashing = parts.contains(crashingPart);
    if (isDown(attempt.server)) {
      after(1, () -> unlessCancelled(attempt, () -> attempt.listener.onUnreachable("refused")));
      return;
    }
    if (crashing) {
      crashingSends.add(fixture.timers.nanos());
    }
    running.computeIfAbsent(attempt.server.id(), s -> new ArrayList<>()).add(attempt);
    after(PREFILL_MILLIS, () -> ifRunning(attempt, () -> beginAnswer(attempt, crashing)));
  }

  private static void unlessCancelled(FakeAttempt attempt, Runnable action) {
    if (!attempt.cancelled) {
      action.run();
    }
  }

  private void ifRunning(FakeAttempt attempt, Runnable action) {
    if (running.getOrDefault(attempt.server.id(), List.of()).contains(attempt)) {
      unlessCancelled(attempt, action);
    }
  }

  private void beginAnswer(FakeAttempt attempt, boolean crashing) {
    attempt.respondHead(200, TestProtocol.SIGNED);
    if (crashing) {
      after(CRASH_DELAY_MILLIS, () -> ifRunning(attempt, () -> crash(attempt.server)));
      return;
    }
    after(0, () -> sendEvents(attempt, 1));
  }

  private void sendEvents(FakeAttempt attempt, int number) {
    ifRunning(
        attempt,
        () -> {
          attempt.respondData("id: " + number + "\ndata: x\n\n");
          if (number * EVENT_MILLIS >= STREAM_MILLIS) {
            running.get(attempt.server.id()).remove(attempt);
            attempt.listener.onComplete();
          } else {
            after(EVENT_MILLIS, () -> sendEvents(attempt, number + 1));
          }
        });
  }

  /** Ends a server with all its connections; a successor starts some seconds later. */
  void crash(BackendServer server) {
    down.add(server.id());
    crashTimes.add(fixture.timers.nanos());
    for (FakeAttempt a : running.getOrDefault(server.id(), List.of()).toArray(FakeAttempt[]::new)) {
      unlessCancelled(a, () -> a.listener.onConnectionLost("reset"));
    }
    running.remove(server.id());
    after(EXPIRY_MILLIS, () -> fixture.directory.withdraw(server.id(), fixture.timers.nanos()));
    after(RESTART_MILLIS, this::addServer);
  }

  /** Calls an action when the caller of a request has received the first bytes of an answer. */
  void onAnswerBegun(FakeCaller caller, Runnable action) {
    begun.put(caller, action);
    after(EVENT_MILLIS, () -> checkBegun(caller));
  }

  private void checkBegun(FakeCaller caller) {
    if (caller.status == 0) {
      after(EVENT_MILLIS, () -> checkBegun(caller));
    } else if (caller.status == 200) {
      begun.remove(caller).run();
    }
  }

  /** Returns the number of servers that have crashed. */
  int crashes() {
    return crashTimes.size();
  }

  /** Returns the time in nanoseconds of a crash, counted from 0. */
  long crashedAt(int number) {
    return crashTimes.get(number);
  }

  /** Returns the number of requests with the part that were sent to live servers after a time. */
  int crashingSendsAfter(long time) {
    return (int) crashingSends.stream().filter(t -> t - time > 0).count();
  }

  /** Returns the servers that are up. */
  List<BackendServer> liveServers() {
    return fixture.directory.usable(ExchangeFixture.SERVICE).stream()
        .filter(s -> !isDown(s))
        .toList();
  }
}
