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

/**
 * Checks the verdicts, limits and expiry of used keys, and that only issued keys are authentic.
 *
 * <p>A false not-run verdict lets a caller run a request twice; without limits, used keys, cached
 * responses and forwarded bodies exhaust the memory of a small entry VM.
 */
class UsedKeyTableTest {
  private static final KeyLimits LIMITS = new KeyLimits(1_000, 3, 2, 10, 15, 1);
  private static final AccountId ALICE = new AccountId("alice");
  private static final AccountId BOB = new AccountId("bob");

  private final FleetSecret secret = new FleetSecret("a-secret-for-tests");
  private long nowMillis;
  private final Clock clock = () -> nowMillis * Clock.NANOS_PER_MILLI;
  private final KeyIssuer issuer = new KeyIssuer(new NodeId("vm é.1", 7), secret, clock);
  private final UsedKeyTable table = new UsedKeyTable(issuer, LIMITS);
  private final List<Either<Problem, KeyedResponse>> results = new ArrayList<>();

  private static KeyedRequest request(IdempotencyKey key, AccountId account, String body) {
    ServiceId service = new ServiceId("booking");
    ClassId serviceClass = new ClassId("booking-call");
    ByteString bytes = ByteString.copyFromUtf8(body);
    return new KeyedRequest(key, account, service, serviceClass, "POST", "/b", List.of(), bytes);
  }

  private KeyedRequest freshRequest(AccountId account) {
    return request(issuer.issue(account), account, "nine");
  }

  private void execute(KeyedRequest r, int bodyBytes) {
    assertTrue(table.tryBegin(r, results::add));
    ByteString body = ByteString.copyFrom(new byte[bodyBytes]);
    table.complete(r.key(), Either.right(new KeyedResponse(201, List.of(), body, "b1")));
  }

  private void assertRefused(int status, Verdict verdict) {
    Problem p = results.get(results.size() - 1).getLeft();
    assertEquals(status, p.status(), p.reason());
    assertEquals(verdict, p.verdict(), p.reason());
  }

  @Test
  void otherRequestWithSameKeyIsRefusedAsNotRun() {
    KeyedRequest r = freshRequest(ALICE);
    assertTrue(table.tryBegin(r, results::add));
    assertFalse(table.tryBegin(request(r.key(), ALICE, "ten"), results::add));
    assertRefused(422, Verdict.NOT_RUN);
  }

  @Test
  void retryAfterUncachedResponseIsReportedAsRan() {
    KeyedRequest r = freshRequest(ALICE);
    execute(r, LIMITS.maxCachedBodyBytes() + 1);
    assertEquals(11, results.get(0).get().body().size());
    assertFalse(table.tryBegin(r, results::add));
    assertRefused(409, Verdict.RAN);
  }

  @Test
  void entriesAndCachedBytesAreBoundedAndFreedAtExpiry() {
    execute(freshRequest(ALICE), 10);
    execute(freshRequest(ALICE), 10);
    assertEquals(10, table.cachedBytes());
    assertFalse(table.tryBegin(freshRequest(ALICE), results::add));
    assertRefused(503, Verdict.MAY_HAVE_RUN);
    execute(freshRequest(BOB), 5);
    assertEquals(15, table.cachedBytes());
    assertFalse(table.tryBegin(freshRequest(BOB), results::add));
    nowMillis = LIMITS.lifetimeMillis();
    table.tick();
    assertEquals(0, table.size() + table.cachedBytes());
    execute(freshRequest(ALICE), 10);
  }

  @Test
  void expiredKeyIsRefusedEvenIfUnused() {
    KeyedRequest r = freshRequest(ALICE);
    nowMillis = LIMITS.lifetimeMillis();
    assertFalse(table.tryBegin(r, results::add));
    assertRefused(410, Verdict.MAY_HAVE_RUN);
  }

  @Test
  void drainingIssuerRefusesUnusedKeysAndReplaysCachedResponses() {
    KeyedRequest used = freshRequest(ALICE);
    execute(used, 1);
    table.refuseNewExecutions();
    assertFalse(table.tryBegin(used, results::add));
    assertEquals(201, results.get(1).get().status());
    assertFalse(table.tryBegin(freshRequest(ALICE), results::add));
    assertRefused(503, Verdict.NOT_RUN);
  }

  @Test
  void endFromOtherPeerOrAfterTimeoutIsIgnored() {
    OutgoingForwards outgoing = new OutgoingForwards(clock, (to, m) -> true);
    outgoing.forward(freshRequest(ALICE), results::add);
    Either<Problem, KeyedResponse> result = Either.left(KeyProblems.stopping());
    outgoing.endReceived(new NodeId("vm é.1", 8), RelayCodec.endMessage(1, result).getEnd());
    assertEquals(0, results.size());
    nowMillis = OutgoingForwards.ISSUER_TIMEOUT_MILLIS;
    outgoing.tick();
    outgoing.endReceived(new NodeId("vm é.1", 7), RelayCodec.endMessage(1, result).getEnd());
    assertEquals(1, results.size());
    assertRefused(503, Verdict.MAY_HAVE_RUN);
  }

  @Test
  void totalBodyBytesOfIncomingForwardsAreBounded() {
    IncomingForwards incoming = new IncomingForwards((to, m) -> true);
    NodeId peer = new NodeId("vm2", 1);
    int half = (int) (IncomingForwards.MAX_TOTAL_BODY_BYTES / 2);
    assertTrue(incoming.tryAdd(peer, 1, half));
    assertTrue(incoming.tryAdd(peer, 2, half));
    assertFalse(incoming.tryAdd(peer, 3, 1));
    incoming.complete(peer, 1, Either.left(KeyProblems.stopping()));
    incoming.complete(peer, 1, Either.left(KeyProblems.stopping()));
    assertTrue(incoming.tryAdd(peer, 3, half));
    incoming.peerDown(peer);
    assertTrue(incoming.tryAdd(new NodeId("vm3", 1), 1, 2 * half));
  }

  @Test
  void keyRoundTripsAndIsAuthenticForItsAccountOnly() {
    IdempotencyKey key = issuer.issue(ALICE);
    assertEquals(key, IdempotencyKey.parse(key.toText()).get());
    assertEquals(key, IdempotencyKey.parse("\"" + key.toText() + "\"").get());
    assertTrue(issuer.isAuthentic(key, ALICE));
    assertFalse(issuer.isAuthentic(key, BOB));
    assertFalse(key.toString().contains(key.toText().substring(key.toText().length() - 8)));
  }

  @Property(tries = 1_000, seed = "12")
  void arbitraryTextIsNotAuthentic(@ForAll String text) {
    IdempotencyKey.parse(text).forEach(k -> assertFalse(issuer.isAuthentic(k, ALICE)));
  }

  @Property(tries = 1_000, seed = "13")
  void modifiedKeyIsNotAuthentic(@ForAll int index, @ForAll char c) {
    String text = issuer.issue(ALICE).toText();
    StringBuilder modified = new StringBuilder(text);
    modified.setCharAt(Math.floorMod(index, text.length()), c);
    IdempotencyKey.parse(modified.toString())
        .filter(k -> !k.toText().equals(text))
        .forEach(e -> e.forEach(k -> assertFalse(issuer.isAuthentic(k, ALICE))));
  }
}
