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

/** Validates callers' requests and starts to relay them. */
public final class RelayHandler extends Handler.Abstract {
  private final RequestIdGenerator ids;
  private final FailureDomain domain;
  private final ConfigStore store;
  private final RelayContext context;
  private final KeyedRequestHandler keyedRequests;
  private final ConnectionGuard connections;
  private final BodyReader bodyReader;
  private final AtomicLong inFlight = new AtomicLong();
  private volatile boolean draining;
  private volatile CompiledConfig currentConfig = new CompiledConfig(Snapshot.NONE);

  /** The lookup structures of one configuration. */
  private static final class CompiledConfig {
    final Snapshot snapshot;
    final RequestClassifier classifier;
    final CallerAuthenticator authenticator;
    final ShardMap shards;

    CompiledConfig(Snapshot snapshot) {
      PublishedConfig config = snapshot.config();
      this.snapshot = snapshot;
      this.classifier = new RequestClassifier(config);
      this.authenticator = new CallerAuthenticator(config);
      this.shards = ShardMap.of(config);
    }
  }

  /**
   * Creates a handler that applies each new configuration.
   *
   * @param ids generates the request ids
   * @param domain the failure domain of this process
   * @param store holds the current configuration
   * @param context the objects shared by all requests; its clients are started and stopped by the
   *     caller of this constructor
   * @param keys dispatches keyed requests
   * @param connections tracks the callers' connections
   */
  public RelayHandler(
      RequestIdGenerator ids,
      FailureDomain domain,
      ConfigStore store,
      RelayContext context,
      KeyService keys,
      ConnectionGuard connections) {
    this.ids = ids;
    this.domain = domain;
    this.store = store;
    this.context = context;
    this.keyedRequests = new KeyedRequestHandler(keys);
    this.connections = connections;
    this.bodyReader = new BodyReader(context.limits());
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return a count
   */
  public long inFlight() {
    return inFlight.get();
  }

  /** Makes every further response close its connection. */
  public void startDraining() {
    draining = true;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    Connection connection = request.getConnectionMetaData().getConnection();
    inFlight.incrementAndGet();
    connections.requestBegan(connection);
    Callback onCompletion = Callback.from(callback, () -> requestEnded(connection));
    CallerExchange caller =
        new CallerExchange(request, response, onCompletion, ids.next(), () -> draining);
    CompiledConfig config = refreshConfig();
    if (KeyedRequestHandler.isKeysPath(Request.getPathInContext(request))) {
      keyedRequests.issue(caller, config.authenticator);
      return true;
    }
    Either<Problem, RequestTraits> traits = config.classifier.classify(head(request));
    if (traits.isLeft()) {
      caller.sendProblem(traits.getLeft());
    } else if (!connections.tryAssign(connection, traits.get().account().id())) {
      caller.sendProblem(tooManyConnections());
    } else if (request.getLength() > context.limits().maxBodyBytes()) {
      caller.sendProblem(bodyReader.tooLarge());
    } else {
      readBody(caller, traits.get(), config);
    }
    return true;
  }

  private void requestEnded(Connection connection) {
    connections.requestEnded(connection);
    inFlight.decrementAndGet();
  }

  private static Problem tooManyConnections() {
    return Problem.badRequest(
        429, "account-connections", "The client account has too many connections open.");
  }

  private void readBody(CallerExchange caller, RequestTraits traits, CompiledConfig config) {
    Request request = caller.request();
    long reserved = bodyReader.maxBodyBytes(request);
    if (!bodyReader.tryReserve(reserved)) {
      caller.sendProblem(bodyReader.bufferFull());
      return;
    }
    caller.onCompletion(() -> bodyReader.release(reserved));
    request.addIdleTimeoutListener(t -> false);
    bodyReader
        .read(request)
        .whenComplete((body, failure) -> bodyRead(caller, traits, config, body, failure));
  }

  private CompiledConfig refreshConfig() {
    CompiledConfig c = currentConfig;
    Snapshot snapshot = store.current();
    if (c.snapshot != snapshot) {
      c = new CompiledConfig(snapshot);
      currentConfig = c;
    }
    return c;
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
      CompiledConfig config,
      byte @Nullable [] body,
      @Nullable Throwable failure) {
    if (body == null) {
      caller.sendProblem(bodyReader.readFailed(failure));
      return;
    }
    if (!traits.repeatable() && keyedRequests.tryHandle(caller, traits, body)) {
      return;
    }
    ShardId shard =
        ShardSelector.select(config.shards, domain, traits.service().id(), caller.id().sequence());
    if (shard == null) {
      caller.sendProblem(Problem.refused(RefusalReason.NO_SERVER, Verdict.NOT_RUN, 1_000));
      return;
    }
    new RelayedRequest(caller, traits, body, shard, context, config.snapshot.revision()).start();
  }
}
