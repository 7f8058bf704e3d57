package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.http.ExchangeWorld.Caller;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.RouteTable;

class ExchangeTest {
  private static final String SIGNED = TestProtocol.SIGNED;
  private static final String NOT_RUN = TestProtocol.NOT_RUN;

  private final ExchangeWorld world = new ExchangeWorld();
  private final Caller caller = new Caller();

  @Test
  void wholeAnswerReachesItsCaller() {
    world.servers(1).ask(RequestKind.IDEMPOTENT, caller);
    world.send(0).whole(200, "answer", SIGNED, TestProtocol.ID);
    assertEquals(200, caller.status);
    assertEquals("answer", caller.body.toString());
    assertTrue(caller.complete);
    assertEquals(0, world.exchanges.active());
  }

  @Test
  void serverLearnsTheAccountAndTheTimeLeftButNotTheKey() {
    world.servers(1).ask(RequestKind.IDEMPOTENT, caller, TestProtocol.WAIT, "700");
    assertEquals("account-1", world.send(0).request.headers().get(TestProtocol.ACCOUNT));
    assertEquals("700", world.send(0).request.headers().get(TestProtocol.WAIT));
    assertFalse(world.send(0).request.headers().contains(TestProtocol.KEY));
  }

  @Test
  void unknownKeyAndUnknownRouteAreDenied() {
    world.servers(1).ask(RequestKind.IDEMPOTENT, caller, TestProtocol.KEY, "other");
    assertEquals(401, caller.status);
    world.routes(new RouteTable(2, List.of(), List.of(), CallerLimits.DEFAULT, null));
    Caller second = new Caller();
    world.ask(RequestKind.IDEMPOTENT, second);
    assertEquals(404, second.status);
    assertTrue(world.sends.isEmpty());
  }

  @Test
  void routerWithoutConfigurationRefusesAndDeniesNobody() {
    world.routes(null);
    world.ask(RequestKind.IDEMPOTENT, caller);
    world.timers.advanceMillis(1_000);
    assertEquals(503, caller.status);
    assertTrue(caller.headers.contains("retry-after"));
  }

  @Test
  void requestThatComesBeforeTheFirstConfigurationIsServedOnceItIsThere() {
    world.routes(null);
    world.servers(1).ask(RequestKind.IDEMPOTENT, caller);
    world.timers.advanceMillis(400);
    assertEquals(0, caller.status);
    world.routes(ExchangeWorld.table(1));
    world.exchanges.retryHeld();
    world.timers.advanceMillis(1_000);
    world.send(0).whole(200, "ok", SIGNED);
    assertEquals(200, caller.status);
  }

  @Test
  void requestThatCameTooLateInStopIsRefusedUnsent() {
    world.servers(1);
    world.exchanges.close();
    world.ask(RequestKind.UNREPEATABLE, caller);
    assertEquals(503, caller.status);
    assertTrue(world.sends.isEmpty());
  }

  @Test
  void requestThatDidNotRunGoesToAnotherServer() {
    world.servers(2).ask(RequestKind.UNREPEATABLE, caller);
    world.send(0).head(503, NOT_RUN);
    assertNotEquals(world.send(0).server, world.send(1).server);
    world.send(1).whole(200, "ok", SIGNED);
    assertEquals(200, caller.status);
  }

  @Test
  void unreachableServerCountsAsNotRun() {
    world.servers(2).ask(RequestKind.UNREPEATABLE, caller);
    world.send(0).answer.unreachable("refused");
    assertEquals(2, world.sends.size());
  }

  @Test
  void unrepeatableRequestThatMayHaveRunIsNeverSentAgainNorRefused() {
    world.servers(2).ask(RequestKind.UNREPEATABLE, caller);
    world.send(0).answer.broken("reset");
    assertEquals(1, world.sends.size());
    assertEquals(502, caller.status);
  }

  @Test
  void streamWithoutResumeThatMayHaveRunIsNeverSentAgain() {
    world.servers(2).ask(RequestKind.STREAM, caller);
    world.send(0).answer.broken("reset");
    assertEquals(1, world.sends.size());
    assertEquals(502, caller.status);
  }

  @Test
  void idempotentRequestIsRepeatedUpToItsAttempts() {
    world.servers(3).ask(RequestKind.IDEMPOTENT, caller);
    world.send(0).answer.broken("reset");
    world.send(1).answer.broken("reset");
    assertEquals(2, world.sends.size());
    assertEquals(502, caller.status);
  }

  @Test
  void idempotentRequestThatFailsEverywhereGetsTheServersOwnAnswer() {
    world.servers(3).ask(RequestKind.IDEMPOTENT, caller);
    world.send(0).whole(500, "first", SIGNED);
    world.send(1).whole(500, "second", SIGNED);
    assertEquals(500, caller.status);
    assertEquals("second", caller.body.toString());
  }

  @Test
  void unrepeatableRequestGetsTheServersFailureUnchanged() {
    world.servers(2).ask(RequestKind.UNREPEATABLE, caller);
    world.send(0).whole(500, "failed", SIGNED);
    assertEquals(500, caller.status);
    assertEquals("failed", caller.body.toString());
    assertEquals(1, world.sends.size());
  }

  @Test
  void unsignedForeignAndEncodedSuccessesNeverReachTheCaller() {
    for (String[] bad : new String[][] {{}, {SIGNED, "content-encoding"}}) {
      Caller c = new Caller();
      ExchangeWorld w = new ExchangeWorld().servers(1);
      w.ask(RequestKind.UNREPEATABLE, c);
      w.send(0).head(200, bad);
      assertEquals(502, c.status);
    }
    world.servers(1).ask(RequestKind.UNREPEATABLE, caller, TestProtocol.ID, "other");
    world.send(0).head(200, SIGNED, TestProtocol.ID);
    assertEquals(502, caller.status);
  }

  @Test
  void brokenWholeAnswerIsReplacedBeforeTheCallerSeesAnyOfIt() {
    world.servers(2).ask(RequestKind.IDEMPOTENT, caller);
    world.send(0).head(200, SIGNED);
    world.send(0).data("hal");
    world.send(0).answer.broken("reset");
    world.send(1).whole(200, "whole", SIGNED);
    assertEquals("whole", caller.body.toString());
  }

  @Test
  void streamPassesOnWholeEventsOnly() {
    world.servers(1).ask(RequestKind.STREAM, caller);
    world.send(0).head(200, SIGNED);
    world.send(0).data("id: 1\ndata: a\n\nid: 2\nda");
    assertEquals("id: 1\ndata: a\n\n", caller.body.toString());
    world.send(0).answer.broken("reset");
    assertTrue(caller.aborted);
    assertFalse(caller.complete);
  }

  @Test
  void resumableStreamGoesOnAtAnotherServerAfterItsLastWholeEvent() {
    world.servers(2).ask(RequestKind.RESUMABLE_STREAM, caller);
    world.send(0).head(200, SIGNED);
    world.send(0).data("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
    world.send(0).answer.broken("crashed");
    assertEquals("2", world.send(1).request.headers().get(TestProtocol.LAST));
    world.send(1).head(200, SIGNED);
    world.send(1).data("id: 3\ndata: c\n\n");
    world.send(1).answer.complete();
    assertEquals("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", caller.body.toString());
    assertTrue(caller.complete);
  }

  @Test
  void resumableStreamOutlivesServersThatRejectItsRest() {
    world.servers(3).ask(RequestKind.RESUMABLE_STREAM, caller);
    world.send(0).head(200, SIGNED);
    world.send(0).data("id: 1\n\n");
    world.send(0).answer.broken("crashed");
    world.send(1).head(503, NOT_RUN);
    world.send(2).head(200, SIGNED);
    world.send(2).data("id: 2\n\n");
    world.send(2).answer.complete();
    assertEquals("id: 1\n\nid: 2\n\n", caller.body.toString());
    assertTrue(caller.complete);
  }

  @Test
  void streamThatEndsWithinAnEventIsCutVisibly() {
    world.servers(1).ask(RequestKind.STREAM, caller);
    world.send(0).head(200, SIGNED);
    world.send(0).data("id: 1\ndata: a\n\nid: 2");
    world.send(0).answer.complete();
    assertTrue(caller.aborted);
    assertFalse(caller.complete);
  }

  @Test
  void routesTimeoutEndsTheRequestWithAnAnswerAndItsUpstreamWork() {
    world.servers(1).ask(RequestKind.UNREPEATABLE, caller, TestProtocol.WAIT, "9000");
    world.timers.advanceMillis(ExchangeWorld.TIMEOUT_MILLIS);
    assertEquals(504, caller.status);
    assertTrue(world.send(0).cancelled);
  }

  @Test
  void silentServerIsLeftForAnotherIfTheRequestMayBeRepeated() {
    world.servers(2).ask(RequestKind.IDEMPOTENT, caller);
    world.timers.advanceMillis(1_000);
    assertTrue(world.send(0).cancelled);
    world.send(1).whole(200, "ok", SIGNED);
    assertEquals(200, caller.status);
  }

  @Test
  void silentServerKeepsUnrepeatableRequestsAndTheLastOneOfItsService() {
    world.servers(2).ask(RequestKind.UNREPEATABLE, caller);
    world.timers.advanceMillis(1_500);
    assertFalse(world.send(0).cancelled);
    ExchangeWorld alone = new ExchangeWorld().servers(1);
    alone.ask(RequestKind.IDEMPOTENT, new Caller());
    alone.timers.advanceMillis(1_500);
    assertFalse(alone.send(0).cancelled);
  }

  @Test
  void silentServerIsKeptWhenTheRetryBudgetIsSpent() {
    world.budget.setLimits(0, 0);
    world.servers(2).ask(RequestKind.IDEMPOTENT, caller);
    world.timers.advanceMillis(1_500);
    assertFalse(world.send(0).cancelled);
    world.send(0).whole(200, "late", SIGNED);
    assertEquals(200, caller.status);
  }

  @Test
  void streamThatStallsGoesOnAtAnotherServer() {
    world.servers(2).ask(RequestKind.RESUMABLE_STREAM, caller);
    world.send(0).head(200, SIGNED);
    for (int i = 1; i <= 3; i++) {
      world.timers.advanceMillis(300);
      world.send(0).data("id: " + i + "\n\n");
    }
    assertEquals(1, world.sends.size());
    world.timers.advanceMillis(800);
    assertEquals("3", world.send(1).request.headers().get(TestProtocol.LAST));
  }

  @Test
  void callersLeavingEndsUpstreamWorkAtOnce() {
    Exchange e = world.servers(1).ask(RequestKind.STREAM, caller);
    e.callerGone();
    assertTrue(world.send(0).cancelled);
    assertEquals(0, world.exchanges.active());
  }

  @Test
  void spentRetryBudgetEndsInTrueRefusal() {
    world.budget.setLimits(0, 0);
    world.servers(2).ask(RequestKind.UNREPEATABLE, caller);
    world.send(0).head(503, NOT_RUN);
    assertEquals(1, world.sends.size());
    assertEquals(503, caller.status);
  }

  @Test
  void requestWithoutServerIsHeldAndServedWhenOneAppears() {
    world.ask(RequestKind.UNREPEATABLE, caller);
    assertEquals(1, world.exchanges.heldCount());
    world.timers.advanceMillis(100);
    world.servers(1);
    world.exchanges.retryHeld();
    world.send(0).whole(200, "ok", SIGNED);
    assertEquals(200, caller.status);
  }

  @Test
  void heldRequestIsRefusedInTimeForTheCallerToComeBack() {
    world.ask(RequestKind.UNREPEATABLE, caller);
    world.timers.advanceMillis(ExchangeWorld.TIMEOUT_MILLIS / 2);
    assertEquals(503, caller.status);
    assertEquals(0, world.exchanges.heldCount());
  }

  @Test
  void drainingServerGetsNothingNew() {
    world.servers(1);
    world.directory.put(ExchangeWorld.server("s1", true));
    world.ask(RequestKind.IDEMPOTENT, caller);
    assertTrue(world.sends.isEmpty());
  }

  @Test
  void serverWhoseAddressIsReusedGetsNothingNew() {
    world.servers(1).ask(RequestKind.UNREPEATABLE, caller);
    world.send(0).head(421);
    assertTrue(world.directory.usable(ExchangeWorld.SERVICE).isEmpty());
  }
}
