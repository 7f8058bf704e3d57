package org.wigeonwharf.relay.keys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.Verdict;

/**
 * Checks that a keyed request runs at most once, and never if a caller was told that it did not
 * run.
 *
 * <p>Either failure occurs if a retry runs on a second router, or a delayed or duplicate message
 * runs after the key has completed or expired or its issuer has restarted. Random steps also pause
 * and partition routers, lose messages and responses, and use forged keys and those of other
 * accounts.
 */
class AtMostOnceTest {
  private static final int ROUTERS = 3;
  private static final int MAX_STEPS = 70;

  enum Kind {
    ISSUE,
    ARRIVE,
    ARRIVE_OTHER_BODY,
    ARRIVE_OTHER_ACCOUNT,
    ARRIVE_FORGED,
    DELIVER,
    DROP,
    DUPLICATE,
    ADVANCE,
    EXPIRE,
    APPLY_EFFECT,
    END,
    END_RESPONSE_LOST,
    RESTART,
    PAUSE_OR_RESUME,
    TOGGLE_PARTITION,
    REFUSE_NEW
  }

  record Step(Kind kind, int a, int b) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequencyOf(
            Tuple.of(2, Arbitraries.of(Kind.values())),
            Tuple.of(
                3,
                Arbitraries.of(
                    Kind.ISSUE,
                    Kind.ARRIVE,
                    Kind.ARRIVE,
                    Kind.DELIVER,
                    Kind.APPLY_EFFECT,
                    Kind.END)));
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 99);
    return Combinators.combine(kinds, numbers, numbers)
        .as(Step::new)
        .list()
        .ofMinSize(4)
        .ofMaxSize(MAX_STEPS);
  }

  @Property(tries = 3_000, seed = "11")
  void noRequestRunsTwiceOrDespiteNotRunVerdict(@ForAll("steps") List<Step> steps) {
    KeyFleetSimulation fleet = new KeyFleetSimulation(ROUTERS, false);
    steps.forEach(s -> apply(fleet, s));
    fleet.settle();
    assertAtMostOnce(fleet);
    assertOneResultPerCallerOfLiveRouter(fleet);
  }

  /** Guards the check itself: without forwarding to the issuer, two routers execute one key. */
  @Property(tries = 1, seed = "11")
  void checkDetectsRoutersThatDeduplicateOnlyLocally() {
    KeyFleetSimulation fleet = new KeyFleetSimulation(ROUTERS, true);
    IdempotencyKey key = fleet.issue(0);
    fleet.arrive(0, key, KeyFleetSimulation.OWNER, "nine");
    fleet.arrive(1, key, KeyFleetSimulation.OWNER, "nine");
    fleet.settle();
    assertThrows(AssertionError.class, () -> assertAtMostOnce(fleet));
  }

  /** A forward reaches the issuer after a direct retry with the same key got not-run. */
  @Property(tries = 1, seed = "11")
  void delayedForwardDoesNotRunAfterRetryGotNotRun() {
    KeyFleetSimulation fleet = new KeyFleetSimulation(ROUTERS, false);
    IdempotencyKey key = fleet.issue(0);
    fleet.arrive(1, key, KeyFleetSimulation.OWNER, "nine");
    KeyFleetSimulation.Arrival retry = fleet.arrive(0, key, KeyFleetSimulation.OWNER, "nine");
    fleet.executions.get(0).end(false);
    assertTrue(retry.gotProblem(Verdict.NOT_RUN));
    fleet.settle();
    assertEquals(0, fleet.effects.size());
  }

  private static void assertAtMostOnce(KeyFleetSimulation fleet) {
    fleet.effects.forEach((key, effects) -> assertEquals(1, effects.size(), "effects of " + key));
    for (KeyFleetSimulation.Arrival a : fleet.arrivals) {
      List<ByteString> effects = fleet.effects.getOrDefault(a.request.key().toText(), List.of());
      boolean ran = effects.contains(a.request.digest()) && isFromKeyOwner(a);
      assertTrue(!ran || !a.gotProblem(Verdict.NOT_RUN), "ran, but a caller was told not-run");
      for (Either<?, KeyedResponse> result : a.results) {
        result.forEach(response -> assertEquals(a.request.key().mac(), response.body()));
        assertTrue(
            result.isLeft() || isFromKeyOwner(a), "got the response to another account's request");
        assertTrue(result.isLeft() || ran, "got the response to another request");
      }
    }
  }

  private static boolean isFromKeyOwner(KeyFleetSimulation.Arrival a) {
    return a.request.account().equals(KeyFleetSimulation.OWNER);
  }

  private static void assertOneResultPerCallerOfLiveRouter(KeyFleetSimulation fleet) {
    for (KeyFleetSimulation.Arrival a : fleet.arrivals) {
      assertTrue(
          a.results.size() == 1 || (a.router.dead && a.results.isEmpty()),
          "number of results of one arrival");
    }
  }

  private static void apply(KeyFleetSimulation f, Step s) {
    int router = s.a() % ROUTERS;
    switch (s.kind()) {
      case ISSUE -> f.issue(router);
      case ARRIVE -> arrive(f, s, KeyFleetSimulation.OWNER, "nine");
      case ARRIVE_OTHER_BODY -> arrive(f, s, KeyFleetSimulation.OWNER, "ten");
      case ARRIVE_OTHER_ACCOUNT -> arrive(f, s, KeyFleetSimulation.OTHER, "nine");
      case ARRIVE_FORGED -> f.arrive(router, forged(f, s), KeyFleetSimulation.OWNER, "nine");
      case ADVANCE -> f.advance(s.b() * 15L);
      case EXPIRE -> f.advance(KeyFleetSimulation.LIMITS.lifetimeMillis() * s.b() / 100);
      case RESTART -> f.restart(router);
      case TOGGLE_PARTITION -> f.togglePartition(router, (router + 1) % ROUTERS, s.b() % 2 == 0);
      case REFUSE_NEW ->
          f.routers.get(router).runOrQueue(f.routers.get(router).dispatcher::refuseNewExecutions);
      case PAUSE_OR_RESUME -> pauseOrResume(f.routers.get(router));
      case DELIVER, DROP, DUPLICATE -> applyNetworkStep(f, s);
      default -> applyExecutionStep(f, s);
    }
  }

  private static void arrive(KeyFleetSimulation f, Step s, AccountId account, String body) {
    if (!f.keys.isEmpty()) {
      f.arrive(s.a() % ROUTERS, f.keys.get(s.b() % f.keys.size()), account, body);
    }
  }

  private static IdempotencyKey forged(KeyFleetSimulation f, Step s) {
    NodeId issuer = f.routers.get(s.b() % ROUTERS).node;
    return new IdempotencyKey(issuer, s.a() + 1, 0, ByteString.copyFrom(new byte[16]));
  }

  private static void pauseOrResume(KeyFleetSimulation.Router r) {
    if (r.paused) {
      r.resume();
    } else {
      r.paused = true;
    }
  }

  private static void applyNetworkStep(KeyFleetSimulation f, Step s) {
    if (f.packetsInFlight.isEmpty()) {
      return;
    }
    int index = s.a() % f.packetsInFlight.size();
    switch (s.kind()) {
      case DELIVER -> f.deliver(index);
      case DROP -> f.packetsInFlight.remove(index);
      default -> f.packetsInFlight.add(f.packetsInFlight.get(index));
    }
  }

  private static void applyExecutionStep(KeyFleetSimulation f, Step s) {
    if (f.executions.isEmpty()) {
      return;
    }
    KeyFleetSimulation.Execution e = f.executions.get(s.a() % f.executions.size());
    switch (s.kind()) {
      case APPLY_EFFECT -> e.applyEffect();
      default -> e.end(s.kind() == Kind.END_RESPONSE_LOST);
    }
  }
}
