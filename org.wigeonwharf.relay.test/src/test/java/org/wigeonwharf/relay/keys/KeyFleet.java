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
 * Routers, a network that loses, delays and doubles, and a recorder of actions, in virtual time.
 */
final class KeyFleet {
  static final AccountId OWNER = new AccountId("owner");
  static final AccountId OTHER = new AccountId("other");
  static final KeyLimits LIMITS = new KeyLimits(10_000, 3, 2, 64, 40, 2);

  private final FleetSecret secret = new FleetSecret("a-secret-for-tests");
  private final boolean naive;
  private final Set<String> cuts = new HashSet<>();
  private long nowMillis;
  private long incarnations;
  final List<Router> routers = new ArrayList<>();
  final List<IdempotencyKey> keys = new ArrayList<>();
  final List<Packet> network = new ArrayList<>();
  final List<Execution> executions = new ArrayList<>();
  final List<Arrival> arrivals = new ArrayList<>();
  final Map<String, List<ByteString>> actions = new HashMap<>();

  record Packet(NodeId from, NodeId to, RelayMessage message) {}

  KeyFleet(int size, boolean naive) {
    this.naive = naive;
    for (int i = 0; i < size; i++) {
      routers.add(new Router("vm" + i));
    }
  }

  /** One arrival of a request at one router, and what its caller was told. */
  static final class Arrival {
    final KeyedRequest request;
    final Router at;
    final List<Either<Problem, KeyedAnswer>> ends = new ArrayList<>();

    Arrival(KeyedRequest request, Router at) {
      this.request = request;
      this.at = at;
    }

    boolean wasTold(Verdict v) {
      return ends.stream().anyMatch(e -> e.isLeft() && e.getLeft().verdict() == v);
    }
  }

  /** One execution on its way to the backend server. */
  final class Execution {
    final Router by;
    final KeyedRequest request;
    final EndListener listener;
    boolean acted;
    boolean ended;

    Execution(Router by, KeyedRequest request, EndListener listener) {
      this.by = by;
      this.request = request;
      this.listener = listener;
    }

    void act() {
      if (!acted && !ended) {
        acted = true;
        actions
            .computeIfAbsent(request.key().toText(), k -> new ArrayList<>())
            .add(request.digest());
      }
    }

    void end(boolean cut) {
      if (ended) {
        return;
      }
      ended = true;
      Verdict v = acted || cut ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
      Problem p = new Problem(502, "backend-failed", "", v, 0);
      by.run(() -> listener.ended(acted && !cut ? Either.right(answer()) : Either.left(p)));
    }

    private KeyedAnswer answer() {
      return new KeyedAnswer(201, List.of(), request.key().mac(), "b1");
    }
  }

  /** One router process; a frozen one takes its events when it wakes. */
  final class Router {
    final NodeId node;
    final KeyIssuer issuer;
    final KeyedRequests requests;
    final Set<String> seenByNaive = new HashSet<>();
    private final Deque<Runnable> missed = new ArrayDeque<>();
    boolean frozen;
    boolean dead;

    Router(String name) {
      Clock clock = () -> nowMillis * Clock.NANOS_PER_MILLI;
      node = new NodeId(name, ++incarnations);
      issuer = new KeyIssuer(node, secret, clock);
      requests =
          new KeyedRequests(issuer, LIMITS, clock, (to, m) -> send(this, to, m), this::execute);
    }

    private void execute(KeyedRequest request, EndListener listener) {
      executions.add(new Execution(this, request, listener));
    }

    void run(Runnable event) {
      if (frozen) {
        missed.add(event);
      } else if (!dead) {
        event.run();
      }
    }

    void take(Arrival a) {
      if (!naive) {
        requests.arrived(a.request, a.ends::add);
      } else if (seenByNaive.add(a.request.key().toText())) {
        execute(a.request, a.ends::add);
      }
    }

    void thaw() {
      frozen = false;
      while (!missed.isEmpty()) {
        run(missed.remove());
      }
    }
  }

  private boolean send(Router from, NodeId to, RelayMessage message) {
    boolean known = routers.stream().anyMatch(r -> r.node.equals(to));
    if (known && !cuts.contains(link(from.node, to))) {
      network.add(new Packet(from.node, to, message));
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
    a.at.run(() -> a.at.take(a));
    return a;
  }

  void deliver(int index) {
    Packet p = network.remove(index);
    routers.stream()
        .filter(r -> r.node.equals(p.to()))
        .forEach(r -> r.run(() -> r.requests.received(p.from(), p.message())));
  }

  void deliverAll() {
    while (!network.isEmpty()) {
      deliver(0);
    }
  }

  void advance(long millis) {
    nowMillis += millis;
    routers.forEach(r -> r.run(r.requests::tick));
  }

  void replace(int router) {
    Router old = routers.get(router);
    old.dead = true;
    old.frozen = false;
    routers.set(router, new Router(old.node.name()));
    routers.forEach(r -> r.run(() -> r.requests.peerDown(old.node)));
  }

  void toggleCut(int a, int b, boolean noticed) {
    NodeId x = routers.get(a).node;
    NodeId y = routers.get(b).node;
    if (!cuts.remove(link(x, y))) {
      cuts.add(link(x, y));
      if (noticed) {
        routers.get(a).run(() -> routers.get(a).requests.peerDown(y));
      }
    }
  }

  /** Lets everything that is under way come to its end. */
  void settle() {
    routers.forEach(Router::thaw);
    for (int i = 0; i < 20; i++) {
      deliverAll();
      List.copyOf(executions)
          .forEach(
              e -> {
                e.act();
                e.end(false);
              });
      advance(200);
    }
  }
}
