package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.model.Clock;

/** Guards against requests that crash one model server after the other. */
class CrashingPromptTest {
  private static final int SERVERS = 8;
  private static final long STEP_MILLIS = 50;
  private static final String CRASHING_PART = "bad";

  /** Time in ms after the fifth crash from which requests with the part must not be sent. */
  private static final long CONTAINMENT_MILLIS = 4_000;

  /** Requests with the part that may still be sent after that time. */
  private static final int MAX_SENDS_AFTER_CONTAINMENT = 3;

  private final ExchangeFixture fixture = new ExchangeFixture();
  private final EngineSimulation engines = new EngineSimulation(fixture, CRASHING_PART, SERVERS);
  private int requests;
  private int soundRequests;
  private int soundResponses;

  private void beginSound() {
    FakeCaller caller = new FakeCaller();
    soundRequests++;
    engines.onAnswerBegun(caller, () -> soundResponses++);
    begin(caller, "common,session" + requests % 7 + ",own" + requests);
  }

  private void beginCrashing() {
    begin(
        new FakeCaller(),
        "common,session" + requests % 7 + "," + CRASHING_PART + ",own" + requests);
  }

  private void begin(FakeCaller caller, String parts) {
    requests++;
    fixture.begin(RequestKind.RESUMABLE_STREAM, caller, TestProtocol.PARTS, parts);
  }

  private void run(long millis) {
    for (long t = 0; t < millis; t += STEP_MILLIS) {
      if (t % 100 == 0) {
        beginSound();
      }
      if (t % 250 == 0) {
        beginCrashing();
      }
      fixture.timers.advanceMillis(STEP_MILLIS);
    }
  }

  @Test
  void requestsWithPartThatCrashesServersStopReachingServers() {
    run(30_000);
    assertTrue(engines.crashes() >= 1, "the part crashed no server");
    int late =
        engines.crashes() < 5
            ? 0
            : engines.crashingSendsAfter(
                engines.crashedAt(4) + CONTAINMENT_MILLIS * Clock.NANOS_PER_MILLI);
    assertTrue(
        late <= MAX_SENDS_AFTER_CONTAINMENT,
        late + " sent late, " + engines.crashes() + " servers crashed");
  }

  @Test
  void soundRequestsThatShareOtherPartsAreServedMeanwhile() {
    run(15_000);
    soundRequests = 0;
    soundResponses = 0;
    run(15_000);
    assertTrue(
        soundResponses >= 0.9 * soundRequests, soundResponses + " of " + soundRequests + " begun");
  }

  @Test
  void serversThatEndForOtherReasonsQuarantineNothing() {
    for (int seed = 0; seed < 30; seed++) {
      ExchangeFixture fleet = new ExchangeFixture();
      EngineSimulation servers = new EngineSimulation(fleet, CRASHING_PART, SERVERS);
      Random random = new Random(seed);
      for (int i = 0; i < 1_200; i++) {
        beginRandom(fleet, random, "");
        if (random.nextInt(20) == 0) {
          crashSome(servers, 1 + random.nextInt(3));
        }
        fleet.timers.advanceMillis(STEP_MILLIS);
        assertEquals(List.of(), fleet.quarantine.quarantined(fleet.timers.nanos()), "seed " + seed);
      }
      assertTrue(servers.crashes() > 30, servers.crashes() + " crashes, seed " + seed);
    }
  }

  @Test
  void onlyThePartThatCrashesServersIsQuarantined() {
    for (int seed = 0; seed < 30; seed++) {
      ExchangeFixture fleet = new ExchangeFixture();
      EngineSimulation servers = new EngineSimulation(fleet, CRASHING_PART, SERVERS);
      Random random = new Random(seed);
      for (int i = 0; i < 1_200; i++) {
        boolean bad = random.nextInt(5) == 0;
        beginRandom(fleet, random, bad ? CRASHING_PART + "," : "");
        if (random.nextInt(60) == 0) {
          crashSome(servers, 1);
        }
        fleet.timers.advanceMillis(STEP_MILLIS);
      }
      assertEquals(
          List.of(CRASHING_PART),
          fleet.quarantine.quarantined(fleet.timers.nanos()),
          "seed " + seed);
    }
  }

  private static void beginRandom(ExchangeFixture fleet, Random random, String crashingPart) {
    String parts =
        "common" + random.nextInt(3) + ",session" + random.nextInt(30) + "," + crashingPart;
    fleet.begin(
        RequestKind.RESUMABLE_STREAM,
        new FakeCaller(),
        TestProtocol.PARTS,
        parts + "own" + random.nextLong());
  }

  private static void crashSome(EngineSimulation servers, int count) {
    servers.liveServers().stream().limit(count).toList().forEach(servers::crash);
  }
}
