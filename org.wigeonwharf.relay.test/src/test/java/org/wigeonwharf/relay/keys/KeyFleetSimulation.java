package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.wire.RelayMessage;

/**
 * Simulates routers in virtual time, with a network that loses, delays and duplicates messages, and
 * records the effects of executed requests.
 */
final class KeyFleetSimulation {
  static final AccountId OWNER = new AccountId("owner");
  static final AccountId OTHER = new AccountId("other");
  static final KeyLimits LIMITS = new KeyLimits(10_000, 3, 2, 64, 40, 2);

  private final FleetSecret secret = new FleetSecret("a-secret-for-tests");

  /** Whether routers execute a new key themselves instead of forwarding it to its issuer. */
  private final boolean localDedupOnly;

  private final Set<String> partitionedLinks = new HashSet<>();
  private long nowMillis;
  private long incarnations;
  final List<Router> routers = new ArrayList<>();
  final List<IdempotencyKey> keys = new ArrayList<>();
  final List<Packet> packetsInFlight = new ArrayList<>();
  final List<Execution> executions = new ArrayList<>();
  final List<Arrival> arrivals = new ArrayList<>();
  final Map<String, List<ByteString>> effects = new HashMap<>();

  record Packet(NodeId from, NodeId to, RelayMessage message) {}

  KeyFleetSimulation(int size, boolean localDedupOnly) {
    this.localDedupOnly = localDedupOnly;
    for (int i = 0; i < size; i++) {
      routers.add(new Router("vm" + i));
    }
  }

  /** An arrival of a request at one router, with the results that its caller received. */
  static final class Arrival {
    final KeyedRequest request;
    final Router router;
    final List<Either<Problem, KeyedResponse>> results = new ArrayList<>();

    Arrival(KeyedRequest request, Router router) {
      this.request = request;
      this.router = router;
    }

    boolean gotProblem(Verdict v) {
      return results.stream().anyMatch(e -> e.isLeft() && e.getLeft().verdict() == v);
    }
  }

  /** An execution of a request by a backend server. */
  final class Execution {
    final Router router;
    final KeyedRequest request;
    final CompletionListener listener;
    boolean applied;
    boolean ended;

    Execution(Router router, KeyedRequest request, CompletionListener listener) {
      this.router = router;
      this.request = request;
      this.listener = listener;
    }

    void applyEffect() {
      if (!applied && !ended) {
        applied = true;
        effects
            .computeIfAbsent(request.key().toText(), k -> new ArrayList<>())
            .add(request.digest());
      }
    }

    void end(boolean responseLost) {
      if (ended) {
        return;
      }
      ended = true;
      Verdict v = applied || responseLost ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
      Problem p = new Problem(502, "backend-failed", "", v, 0);
      router.runOrQueue(
          () ->
              listener.completed(
                  applied && !responseLost ? Either.right(response()) : Either.left(p)));
    }

    private KeyedResponse response() {
      return new KeyedResponse(201, List.of(), request.key().mac(), "b1");
    }
  }

  /** A router process; while it is paused, its events are queued until it resumes. */
  final class Router {
    final NodeId node;
    final KeyIssuer issuer;
    final KeyedRequestDispatcher dispatcher;
    final Set<String> locallySeenKeys = new HashSet<>();
    private final Deque<Runnable> queuedEvents = new ArrayDeque<>();
    boolean paused;
    boolean dead;

    Router(String name) {
      Clock clock = () -> nowMillis * Clock.NANOS_PER_MILLI;
      node = new NodeId(name, ++incarnations);
      issuer = new KeyIssuer(node, secret, clock);
      dispatcher =
          new KeyedRequestDispatcher(
              issuer, LIMITS, clock, (to, m) -> send(this, to, m), this::execute);
    }

    private void execute(KeyedRequest request, CompletionListener listener) {
      executions.add(new Execution(this, request, listener));
    }

    void runOrQueue(Runnable event) {
      if (paused) {
        queuedEvents.add(event);
      } else if (!dead) {
        event.run();
      }
    }

    void handle(Arrival a) {
      if (!localDedupOnly) {
        dispatcher.dispatch(a.request, a.results::add);
      } else if (locallySeenKeys.add(a.request.key().toText())) {
        execute(a.request, a.results::add);
      }
    }

    void resume() {
      paused = false;
      while (!queuedEvents.isEmpty()) {
        runOrQueue(queuedEvents.remove());
      }
    }
  }

  private boolean send(Router from, NodeId to, RelayMessage message) {
    boolean known = routers.stream().anyMatch(r -> r.node.equals(to));
    if (known && !partitionedLinks.contains(link(from.node, to))) {
      packetsInFlight.add(new Packet(from.node, to, message));
    }
    return known;
  }

  private static String link(NodeId a, NodeId b) {
    return a.compareTo(b) < 0 ? a + " " + b : b + " " + a;
  }

  IdempotencyKey issue(int router) {
    IdempotencyKey key = routers.get(router).issuer.issue(OWNER);
    keys.add(key);
    return key;
  }

  Arrival arrive(int router, IdempotencyKey key, AccountId account, String body) {
    KeyedRequest request =
        new KeyedRequest(
            key,
            account,
            new ServiceId("booking"),
            new ClassId("booking-call"),
            "POST",
            "/bookings",
            List.of(),
            ByteString.copyFromUtf8(body));
    Arrival a = new Arrival(request, routers.get(router));
    arrivals.add(a);
    a.router.runOrQueue(() -> a.router.handle(a));
    return a;
  }

  void deliver(int index) {
    Packet p = packetsInFlight.remove(index);
    routers.stream()
        .filter(r -> r.node.equals(p.to()))
        .forEach(r -> r.runOrQueue(() -> r.dispatcher.messageReceived(p.from(), p.message())));
  }

  void deliverAll() {
    while (!packetsInFlight.isEmpty()) {
      deliver(0);
    }
  }

  void advance(long millis) {
    nowMillis += millis;
    routers.forEach(r -> r.runOrQueue(r.dispatcher::tick));
  }

  void restart(int router) {
    Router old = routers.get(router);
    old.dead = true;
    old.paused = false;
    routers.set(router, new Router(old.node.name()));
    routers.forEach(r -> r.runOrQueue(() -> r.dispatcher.peerDown(old.node)));
  }

  void togglePartition(int a, int b, boolean detected) {
    NodeId x = routers.get(a).node;
    NodeId y = routers.get(b).node;
    if (!partitionedLinks.remove(link(x, y))) {
      partitionedLinks.add(link(x, y));
      if (detected) {
        routers.get(a).runOrQueue(() -> routers.get(a).dispatcher.peerDown(y));
      }
    }
  }

  /** Resumes all routers and completes all messages and executions in flight. */
  void settle() {
    routers.forEach(Router::resume);
    for (int i = 0; i < 20; i++) {
      deliverAll();
      List.copyOf(executions)
          .forEach(
              e -> {
                e.applyEffect();
                e.end(false);
              });
      advance(200);
    }
  }
}
