package org.wigeonwharf.relay.keys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.relay.Problem;

class IdempotencyKeysTest {
  private static final KeyLimits LIMITS = new KeyLimits(1_000, 3, 2, 10, 15, 1);
  private static final AccountId ALICE = new AccountId("alice");
  private static final AccountId BOB = new AccountId("bob");

  private final FleetSecret secret = new FleetSecret("a-secret-for-tests");
  private long nowMillis;
  private final Clock clock = () -> nowMillis * Clock.NANOS_PER_MILLI;
  private final KeyIssuer issuer = new KeyIssuer(new NodeId("vm é.1", 7), secret, clock);
  private final IdempotencyKeys keys = new IdempotencyKeys(issuer, LIMITS);
  private final List<Either<Problem, KeyedAnswer>> ends = new ArrayList<>();

  private static KeyedRequest request(IdempotencyKey key, AccountId account, String body) {
    ServiceId service = new ServiceId("booking");
    ClassId serviceClass = new ClassId("booking-call");
    ByteString bytes = ByteString.copyFromUtf8(body);
    return new KeyedRequest(key, account, service, serviceClass, "POST", "/b", List.of(), bytes);
  }

  private KeyedRequest fresh(AccountId account) {
    return request(issuer.issue(account), account, "nine");
  }

  private void run(KeyedRequest r, int answerBytes) {
    assertTrue(keys.arrived(r, ends::add));
    ByteString body = ByteString.copyFrom(new byte[answerBytes]);
    keys.ended(r.key(), Either.right(new KeyedAnswer(201, List.of(), body, "b1")));
  }

  private void assertRefused(int status, Verdict verdict) {
    Problem p = ends.get(ends.size() - 1).getLeft();
    assertEquals(status, p.status(), p.reason());
    assertEquals(verdict, p.verdict(), p.reason());
  }

  @Test
  void otherRequestWithSameKeyIsRefusedAsNotRun() {
    KeyedRequest r = fresh(ALICE);
    assertTrue(keys.arrived(r, ends::add));
    assertFalse(keys.arrived(request(r.key(), ALICE, "ten"), ends::add));
    assertRefused(422, Verdict.NOT_RUN);
  }

  @Test
  void answerTooLongToKeepIsToldAsRan() {
    KeyedRequest r = fresh(ALICE);
    run(r, LIMITS.maxAnswerBytes() + 1);
    assertEquals(11, ends.get(0).get().body().size());
    assertFalse(keys.arrived(r, ends::add));
    assertRefused(409, Verdict.RAN);
  }

  @Test
  void countAndBytesAreBoundedAndFreedAtExpiry() {
    run(fresh(ALICE), 10);
    run(fresh(ALICE), 10);
    assertEquals(10, keys.keptBytes());
    assertFalse(keys.arrived(fresh(ALICE), ends::add));
    assertRefused(503, Verdict.MAY_HAVE_RUN);
    run(fresh(BOB), 5);
    assertEquals(15, keys.keptBytes());
    assertFalse(keys.arrived(fresh(BOB), ends::add));
    nowMillis = LIMITS.lifetimeMillis();
    keys.tick();
    assertEquals(0, keys.size() + keys.keptBytes());
    run(fresh(ALICE), 10);
  }

  @Test
  void expiredKeyIsRefusedEvenIfUnused() {
    KeyedRequest r = fresh(ALICE);
    nowMillis = LIMITS.lifetimeMillis();
    assertFalse(keys.arrived(r, ends::add));
    assertRefused(410, Verdict.MAY_HAVE_RUN);
  }

  @Test
  void stoppingIssuerRefusesUnusedKeysAndStillReplaysUsedOnes() {
    KeyedRequest used = fresh(ALICE);
    run(used, 1);
    keys.stopExecuting();
    assertFalse(keys.arrived(used, ends::add));
    assertEquals(201, ends.get(1).get().status());
    assertFalse(keys.arrived(fresh(ALICE), ends::add));
    assertRefused(503, Verdict.NOT_RUN);
  }

  @Test
  void endOfAnotherPeerOrAfterTheTimeoutIsIgnored() {
    ForwardedRequests forwarded = new ForwardedRequests(clock, (to, m) -> true);
    forwarded.forward(fresh(ALICE), ends::add);
    Either<Problem, KeyedAnswer> end = Either.left(KeyProblems.stopping());
    forwarded.ended(new NodeId("vm é.1", 8), RelayCodec.end(1, end).getEnd());
    assertEquals(0, ends.size());
    nowMillis = ForwardedRequests.MAX_SILENCE_MILLIS;
    forwarded.tick();
    forwarded.ended(new NodeId("vm é.1", 7), RelayCodec.end(1, end).getEnd());
    assertEquals(1, ends.size());
    assertRefused(503, Verdict.MAY_HAVE_RUN);
  }

  @Test
  void bodiesOfForwardedRequestsAreBoundedInAll() {
    RemoteArrivals remote = new RemoteArrivals((to, m) -> true);
    NodeId peer = new NodeId("vm2", 1);
    int half = (int) (RemoteArrivals.MAX_BODY_BYTES / 2);
    assertTrue(remote.add(peer, 1, half));
    assertTrue(remote.add(peer, 2, half));
    assertFalse(remote.add(peer, 3, 1));
    remote.ended(peer, 1, Either.left(KeyProblems.stopping()));
    remote.ended(peer, 1, Either.left(KeyProblems.stopping()));
    assertTrue(remote.add(peer, 3, half));
    remote.peerDown(peer);
    assertTrue(remote.add(new NodeId("vm3", 1), 1, 2 * half));
  }

  @Test
  void keyIsReadBackAndOnlyItsAccountCanUseIt() {
    IdempotencyKey key = issuer.issue(ALICE);
    assertEquals(key, IdempotencyKey.parse(key.toText()).get());
    assertEquals(key, IdempotencyKey.parse("\"" + key.toText() + "\"").get());
    assertTrue(issuer.isAuthentic(key, ALICE));
    assertFalse(issuer.isAuthentic(key, BOB));
    assertFalse(key.toString().contains(key.toText().substring(key.toText().length() - 8)));
  }

  @Property(tries = 1_000, seed = "12")
  void arbitraryTextIsNoAuthenticKey(@ForAll String text) {
    IdempotencyKey.parse(text).forEach(k -> assertFalse(issuer.isAuthentic(k, ALICE)));
  }

  @Property(tries = 1_000, seed = "13")
  void changedKeyIsNoAuthenticKey(@ForAll int at, @ForAll char c) {
    String text = issuer.issue(ALICE).toText();
    StringBuilder changed = new StringBuilder(text);
    changed.setCharAt(Math.floorMod(at, text.length()), c);
    IdempotencyKey.parse(changed.toString())
        .filter(k -> !k.toText().equals(text))
        .forEach(e -> e.forEach(k -> assertFalse(issuer.isAuthentic(k, ALICE))));
  }
}
