package org.wigeonwharf.relay.internal;

import io.vavr.control.Either;
import java.io.EOFException;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
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
import org.wigeonwharf.model.ServiceId;
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
  private final AtomicLong inFlight = new AtomicLong();
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
   */
  public RelayHandler(
      RequestIds ids,
      FailureDomain domain,
      ConfigStore store,
      RelayContext context,
      KeyService keys) {
    this.ids = ids;
    this.domain = domain;
    this.store = store;
    this.context = context;
    this.keyed = new KeyedRelay(keys);
  }

  /**
   * Returns the number of requests being served.
   *
   * @return a count
   */
  public long inFlight() {
    return inFlight.get();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    inFlight.incrementAndGet();
    Callback last = Callback.from(callback, inFlight::decrementAndGet);
    CallerExchange caller = new CallerExchange(request, response, last, ids.next());
    Routes r = currentRoutes();
    if (KeyedRelay.isKeysPath(Request.getPathInContext(request))) {
      keyed.issue(caller, r.authenticator);
      return true;
    }
    Either<Problem, RequestTraits> traits = r.classifier.classify(head(request));
    if (traits.isLeft()) {
      caller.problem(traits.getLeft());
      return true;
    }
    if (request.getLength() > context.limits().maxBodyBytes()) {
      caller.problem(tooLarge());
      return true;
    }
    request.addIdleTimeoutListener(t -> false);
    Content.Source.asByteArrayAsync(request, context.limits().maxBodyBytes())
        .whenComplete((body, failure) -> bodyRead(caller, traits.get(), r, body, failure));
    return true;
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

  private Problem tooLarge() {
    return Problem.badRequest(
        413,
        "body-too-large",
        "The body is longer than " + context.limits().maxBodyBytes() + " bytes.");
  }

  private void bodyRead(
      CallerExchange caller,
      RequestTraits traits,
      Routes r,
      byte @Nullable [] body,
      @Nullable Throwable failure) {
    if (failure instanceof IllegalStateException) {
      caller.problem(tooLarge());
      return;
    }
    if (failure != null || body == null) {
      caller.callback().failed(failure == null ? new EOFException("no body") : failure);
      return;
    }
    if (!traits.repeatable() && keyed.take(caller, traits, body)) {
      return;
    }
    ShardId shard = chooseShard(r.shards, traits.service().id(), caller.id().sequence());
    if (shard == null) {
      caller.problem(Problem.refused(RefusalReason.NO_SERVER, Verdict.NOT_RUN, 1_000));
      return;
    }
    new RelayedRequest(caller, traits, body, shard, context, r.snapshot.revision()).start();
  }

  private @Nullable ShardId chooseShard(ShardMap shards, ServiceId service, long number) {
    List<ShardId> local = shards.shardsOf(service, domain);
    Predicate<ShardId> ofService = s -> s.service().equals(service);
    List<ShardId> choice =
        local.isEmpty() ? shards.shards().keySet().stream().filter(ofService).toList() : local;
    return choice.isEmpty() ? null : choice.get((int) (number % choice.size()));
  }
}
