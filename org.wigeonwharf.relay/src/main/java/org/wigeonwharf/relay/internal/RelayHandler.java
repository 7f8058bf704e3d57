package org.wigeonwharf.relay.internal;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.CallerAuthenticator;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayHeaders;
import org.wigeonwharf.relay.RequestClassifier;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.relay.keys.KeyService;
import org.wigeonwharf.schedule.ShardMap;

/** A RelayHandler takes callers' requests in, checks them and starts their relay. */
public final class RelayHandler extends Handler.Abstract {
  private final RequestIds ids;
  private final FailureDomain domain;
  private final ConfigStore store;
  private final RelayContext context;
  private final KeyedRelay keyed;
  private final ConnectionGuard connections;
  private final BodyReader bodies;
  private final AtomicLong inFlight = new AtomicLong();
  private volatile boolean draining;
  private volatile Routes routes = new Routes(Snapshot.NONE);

  /** What follows from one configuration. */
  private static final class Routes {
    final Snapshot snapshot;
    final RequestClassifier classifier;
    final CallerAuthenticator authenticator;
    final ShardMap shards;

    Routes(Snapshot snapshot) {
      PublishedConfig config = snapshot.config();
      this.snapshot = snapshot;
      this.classifier = new RequestClassifier(config);
      this.authenticator = new CallerAuthenticator(config);
      this.shards = ShardMap.of(config);
    }
  }

  /**
   * Creates a handler that follows the configuration.
   *
   * @param ids numbers the requests
   * @param domain the own failure domain
   * @param store the configuration in force
   * @param context what all requests share; its clients are owned by the caller
   * @param keys decides about keyed requests
   * @param connections watches the callers' connections
   */
  public RelayHandler(
      RequestIds ids,
      FailureDomain domain,
      ConfigStore store,
      RelayContext context,
      KeyService keys,
      ConnectionGuard connections) {
    this.ids = ids;
    this.domain = domain;
    this.store = store;
    this.context = context;
    this.keyed = new KeyedRelay(keys);
    this.connections = connections;
    this.bodies = new BodyReader(context.limits());
  }

  /**
   * Returns the number of requests being served.
   *
   * @return a count
   */
  public long inFlight() {
    return inFlight.get();
  }

  /** Lets every further answer close its connection. */
  public void startDraining() {
    draining = true;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    Connection connection = request.getConnectionMetaData().getConnection();
    inFlight.incrementAndGet();
    connections.began(connection);
    Callback last = Callback.from(callback, () -> ended(connection));
    CallerExchange caller = new CallerExchange(request, response, last, ids.next(), () -> draining);
    Routes r = currentRoutes();
    if (KeyedRelay.isKeysPath(Request.getPathInContext(request))) {
      keyed.issue(caller, r.authenticator);
      return true;
    }
    Either<Problem, RequestTraits> traits = r.classifier.classify(head(request));
    if (traits.isLeft()) {
      caller.problem(traits.getLeft());
    } else if (!connections.admit(connection, traits.get().account().id())) {
      caller.problem(tooManyConnections());
    } else if (request.getLength() > context.limits().maxBodyBytes()) {
      caller.problem(bodies.tooLarge());
    } else {
      readBody(caller, traits.get(), r);
    }
    return true;
  }

  private void ended(Connection connection) {
    connections.ended(connection);
    inFlight.decrementAndGet();
  }

  private static Problem tooManyConnections() {
    return Problem.badRequest(
        429, "account-connections", "The client account has too many connections open.");
  }

  private void readBody(CallerExchange caller, RequestTraits traits, Routes r) {
    Request request = caller.request();
    long reserved = bodies.reservationOf(request);
    if (!bodies.tryReserve(reserved)) {
      caller.problem(bodies.noRoom());
      return;
    }
    caller.whenEnded(() -> bodies.release(reserved));
    request.addIdleTimeoutListener(t -> false);
    bodies
        .read(request)
        .whenComplete((body, failure) -> bodyRead(caller, traits, r, body, failure));
  }

  private Routes currentRoutes() {
    Routes r = routes;
    Snapshot now = store.current();
    if (r.snapshot != now) {
      r = new Routes(now);
      routes = r;
    }
    return r;
  }

  private static RequestClassifier.Head head(Request request) {
    HttpFields h = request.getHeaders();
    return new RequestClassifier.Head(
        request.getMethod(),
        Request.getPathInContext(request),
        request.getHttpURI().getQuery(),
        h.get(HttpHeader.AUTHORIZATION),
        h.get(RelayHeaders.SERVICE),
        h.get(RelayHeaders.SERVICE_CLASS),
        h.get(RelayHeaders.REPEATABLE));
  }

  private void bodyRead(
      CallerExchange caller,
      RequestTraits traits,
      Routes r,
      byte @Nullable [] body,
      @Nullable Throwable failure) {
    if (body == null) {
      caller.problem(bodies.problem(failure));
      return;
    }
    if (!traits.repeatable() && keyed.take(caller, traits, body)) {
      return;
    }
    ShardId shard =
        ShardChoice.choose(r.shards, domain, traits.service().id(), caller.id().sequence());
    if (shard == null) {
      caller.problem(Problem.refused(RefusalReason.NO_SERVER, Verdict.NOT_RUN, 1_000));
      return;
    }
    new RelayedRequest(caller, traits, body, shard, context, r.snapshot.revision()).start();
  }
}
