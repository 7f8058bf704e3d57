package org.wigeonwharf.gateway.feed;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Runs the feeds of several routers over one store in virtual time. In each failure domain the two
 * routers with the lowest numbers read the store and pass on what they read.
 */
final class SimulatedFleet {
  static final String SERVICE = "service";
  private static final int READERS_PER_DOMAIN = 2;
  private static final long MESSAGE_INTERVAL_MILLIS = 400;
  private static final long GRACE_MILLIS = 2_000;
  private static final long EXPIRY_CHECK_MILLIS = 100;

  final VirtualTimers timers = new VirtualTimers();
  final SimulatedStore store = new SimulatedStore(timers);
  final List<Router> routers = new ArrayList<>();
  private final Random random;

  SimulatedFleet(long seed) {
    random = new Random(seed);
  }

  static Function<StorePosition, PublishedItem> routes(long version) {
    RouteTable t = new RouteTable(version, List.of(), List.of(), CallerLimits.DEFAULT, null);
    return p -> new PublishedItem.Routes(t);
  }

  static Function<StorePosition, PublishedItem> server(
      String id, boolean draining, long startedAt) {
    return p ->
        new PublishedItem.Server(
            new BackendServer(
                id,
                SERVICE,
                new InetSocketAddress("127.0.0.1", 9),
                new FailureDomain("d"),
                6,
                draining,
                startedAt,
                "",
                0,
                p));
  }

  static Function<StorePosition, PublishedItem> serverRemoved(String id) {
    return p -> new PublishedItem.ServerRemoved(id);
  }

  static Function<StorePosition, PublishedItem> evacuation(String domain, boolean active) {
    return p ->
        new PublishedItem.EvacuationChange(new Evacuation(new FailureDomain(domain), active, p));
  }

  /** Publishes a configuration. */
  void publish(long version) {
    store.put("config", routes(version));
  }

  /** Publishes the entry of a server. */
  void publishServer(String id, boolean draining, long startedAt) {
    store.put(id, server(id, draining, startedAt));
  }

  void removeServer(String id) {
    store.remove(id, serverRemoved(id));
  }

  /** Starts a number of routers in each of several failure domains. */
  void start(int... routersByDomain) {
    for (int d = 0; d < routersByDomain.length; d++) {
      for (int i = 0; i < routersByDomain[d]; i++) {
        Router r = new Router(d, i);
        routers.add(r);
        r.start();
      }
    }
  }

  /** One router, which may end and start anew. */
  final class Router {
    private final int domain;
    private final int number;
    final SimulatedStore.Client client;
    private boolean running;
    StoreFeed feed;
    ServerDirectory directory;
    Evacuations evacuations;
    private long startedAt;
    private long lowestAllowed;

    /** Highest version by which the router has handled requests, in all its runs. */
    private long highest;

    Router(int domain, int number) {
      this.domain = domain;
      this.number = number;
      this.client = store.new Client(1 + domain * 20L);
    }

    void start() {
      directory = new ServerDirectory(GRACE_MILLIS * Clock.NANOS_PER_MILLI);
      evacuations = new Evacuations();
      feed =
          new StoreFeed(
              client,
              directory,
              evacuations,
              timers,
              new Random(random.nextLong()),
              this::isReader,
              () -> {},
              changes -> passOn(changes),
              new MetricRegistry());
      running = true;
      lowestAllowed = 0;
      startedAt = timers.nanos();
      StoreFeed started = feed;
      timers.schedule(random.nextInt(50) * Clock.NANOS_PER_MILLI, started::start);
      timers.schedule(
          random.nextInt((int) MESSAGE_INTERVAL_MILLIS) * Clock.NANOS_PER_MILLI,
          () -> tell(started));
      timers.schedule(EXPIRY_CHECK_MILLIS * Clock.NANOS_PER_MILLI, () -> expire(started));
    }

    void stop() {
      running = false;
      feed.stop();
    }

    /** Sends the router's state to the others now, as one that has just started does. */
    void contact() {
      routers.stream()
          .filter(r -> r != this && r.running)
          .forEach(r -> feed.onPeerConfiguration(r.feed.configurationVersion()));
    }

    boolean isRunning() {
      return running;
    }

    private boolean isReader() {
      return routers.stream()
              .filter(r -> r.running && r.domain == domain && r.number < number)
              .count()
          < READERS_PER_DOMAIN;
    }

    private void passOn(StoreChanges changes) {
      for (Router r : routers) {
        if (r != this && r.running && r.domain == domain) {
          r.feed.onPeerChanges(changes);
        }
      }
    }

    private void tell(StoreFeed teller) {
      if (teller != feed || !running) {
        return;
      }
      for (Router r : routers) {
        if (r == this || !r.running) {
          continue;
        }
        ReaderState state = feed.readerState();
        if (state != null && r.domain == domain) {
          r.feed.onPeerReader(state);
        }
        r.feed.onPeerConfiguration(feed.configurationVersion());
        r.feed.onPeerPosition(feed.changePosition());
      }
      timers.schedule(MESSAGE_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI, () -> tell(teller));
    }

    private void expire(StoreFeed expiring) {
      if (expiring == feed && running) {
        directory.expireUnconfirmed(timers.nanos());
        directory.trustRestored(timers.nanos() - feed.contactAgeMillis() * Clock.NANOS_PER_MILLI);
        timers.schedule(EXPIRY_CHECK_MILLIS * Clock.NANOS_PER_MILLI, () -> expire(expiring));
      }
    }

    /** Returns the version by which the router handles requests, or 0 if it knows none. */
    long version() {
      RouteTable t = feed.routes();
      return t == null ? 0 : t.version();
    }

    /**
     * Returns whether the version has fallen since it was last asked for. A router that has just
     * started may find that its peers know a later one, and handle no requests until it knows that.
     */
    boolean hasRegressed() {
      final long version = version();
      routers.forEach(r -> r.highest = Math.max(r.highest, r.version()));
      boolean waits = version == 0 && hasJustStarted() && isVersionKnownAbove(lowestAllowed);
      boolean fell = version < lowestAllowed && !waits;
      lowestAllowed = Math.max(lowestAllowed, version);
      return fell;
    }

    private boolean hasJustStarted() {
      return timers.nanos() - startedAt < PeerConfiguration.MAX_WAIT.toNanos();
    }

    private boolean isVersionKnownAbove(long version) {
      return routers.stream().anyMatch(r -> r != this && r.running && r.highest > version);
    }

    List<String> usable() {
      return directory.usable(SERVICE).stream().map(BackendServer::id).toList();
    }
  }
}
