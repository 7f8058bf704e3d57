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

class AtMostOnceTest {
  private static final int ROUTERS = 3;
  private static final int LONGEST = 70;

  enum Kind {
    ISSUE,
    ARRIVE,
    ARRIVE_OTHER_BODY,
    ARRIVE_FOREIGN,
    ARRIVE_FORGED,
    DELIVER,
    DROP,
    DUPLICATE,
    ADVANCE,
    EXPIRE,
    ACT,
    END,
    END_CUT,
    KILL,
    FREEZE_OR_THAW,
    CUT_OR_HEAL,
    STOP
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
                    Kind.ISSUE, Kind.ARRIVE, Kind.ARRIVE, Kind.DELIVER, Kind.ACT, Kind.END)));
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 99);
    return Combinators.combine(kinds, numbers, numbers)
        .as(Step::new)
        .list()
        .ofMinSize(4)
        .ofMaxSize(LONGEST);
  }

  @Property(tries = 3_000, seed = "11")
  void noActionHappensTwiceAndNoneThatWasCalledNotRun(@ForAll("steps") List<Step> steps) {
    KeyFleet fleet = new KeyFleet(ROUTERS, false);
    steps.forEach(s -> apply(fleet, s));
    fleet.settle();
    judge(fleet);
    everyCallerOfLiveRouterWasToldOnce(fleet);
  }

  @Property(tries = 1, seed = "11")
  void routersThatExecuteWhateverArrivesAreFoundOut() {
    KeyFleet fleet = new KeyFleet(ROUTERS, true);
    IdempotencyKey key = fleet.issue(0);
    fleet.arrive(0, key, KeyFleet.OWNER, "nine");
    fleet.arrive(1, key, KeyFleet.OWNER, "nine");
    fleet.settle();
    assertThrows(AssertionError.class, () -> judge(fleet));
  }

  @Property(tries = 1, seed = "11")
  void arrivalStillUnderWayDoesNotRunAfterAnotherWasToldNotRun() {
    KeyFleet fleet = new KeyFleet(ROUTERS, false);
    IdempotencyKey key = fleet.issue(0);
    fleet.arrive(1, key, KeyFleet.OWNER, "nine");
    KeyFleet.Arrival retry = fleet.arrive(0, key, KeyFleet.OWNER, "nine");
    fleet.executions.get(0).end(false);
    assertTrue(retry.wasTold(Verdict.NOT_RUN));
    fleet.settle();
    assertEquals(0, fleet.actions.size());
  }

  private static void judge(KeyFleet fleet) {
    fleet.actions.forEach((key, acts) -> assertEquals(1, acts.size(), "actions of " + key));
    for (KeyFleet.Arrival a : fleet.arrivals) {
      List<ByteString> acts = fleet.actions.getOrDefault(a.request.key().toText(), List.of());
      boolean happened = acts.contains(a.request.digest()) && owns(a);
      assertTrue(!happened || !a.wasTold(Verdict.NOT_RUN), "a false not-run");
      for (Either<?, KeyedAnswer> end : a.ends) {
        end.forEach(answer -> assertEquals(a.request.key().mac(), answer.body()));
        assertTrue(end.isLeft() || owns(a), "another account's answer");
        assertTrue(end.isLeft() || happened, "another request's answer");
      }
    }
  }

  private static boolean owns(KeyFleet.Arrival a) {
    return a.request.account().equals(KeyFleet.OWNER);
  }

  private static void everyCallerOfLiveRouterWasToldOnce(KeyFleet fleet) {
    for (KeyFleet.Arrival a : fleet.arrivals) {
      assertTrue(a.ends.size() == 1 || (a.at.dead && a.ends.isEmpty()), "told once");
    }
  }

  private static void apply(KeyFleet f, Step s) {
    int router = s.a() % ROUTERS;
    switch (s.kind()) {
      case ISSUE -> f.issue(router);
      case ARRIVE -> arrive(f, s, KeyFleet.OWNER, "nine");
      case ARRIVE_OTHER_BODY -> arrive(f, s, KeyFleet.OWNER, "ten");
      case ARRIVE_FOREIGN -> arrive(f, s, KeyFleet.OTHER, "nine");
      case ARRIVE_FORGED -> f.arrive(router, forged(f, s), KeyFleet.OWNER, "nine");
      case ADVANCE -> f.advance(s.b() * 15L);
      case EXPIRE -> f.advance(KeyFleet.LIMITS.lifetimeMillis() * s.b() / 100);
      case KILL -> f.replace(router);
      case CUT_OR_HEAL -> f.toggleCut(router, (router + 1) % ROUTERS, s.b() % 2 == 0);
      case STOP -> f.routers.get(router).run(f.routers.get(router).requests::stopExecuting);
      case FREEZE_OR_THAW -> freezeOrThaw(f.routers.get(router));
      case DELIVER, DROP, DUPLICATE -> network(f, s);
      default -> execution(f, s);
    }
  }

  private static void arrive(KeyFleet f, Step s, AccountId account, String body) {
    if (!f.keys.isEmpty()) {
      f.arrive(s.a() % ROUTERS, f.keys.get(s.b() % f.keys.size()), account, body);
    }
  }

  private static IdempotencyKey forged(KeyFleet f, Step s) {
    NodeId issuer = f.routers.get(s.b() % ROUTERS).node;
    return new IdempotencyKey(issuer, s.a() + 1, 0, ByteString.copyFrom(new byte[16]));
  }

  private static void freezeOrThaw(KeyFleet.Router r) {
    if (r.frozen) {
      r.thaw();
    } else {
      r.frozen = true;
    }
  }

  private static void network(KeyFleet f, Step s) {
    if (f.network.isEmpty()) {
      return;
    }
    int index = s.a() % f.network.size();
    switch (s.kind()) {
      case DELIVER -> f.deliver(index);
      case DROP -> f.network.remove(index);
      default -> f.network.add(f.network.get(index));
    }
  }

  private static void execution(KeyFleet f, Step s) {
    if (f.executions.isEmpty()) {
      return;
    }
    KeyFleet.Execution e = f.executions.get(s.a() % f.executions.size());
    switch (s.kind()) {
      case ACT -> e.act();
      default -> e.end(s.kind() == Kind.END_CUT);
    }
  }
}
