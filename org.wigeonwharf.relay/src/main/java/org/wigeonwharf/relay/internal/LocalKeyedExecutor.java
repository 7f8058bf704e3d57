package org.wigeonwharf.relay.internal;

import io.vavr.control.Either;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.relay.keys.CompletionListener;
import org.wigeonwharf.relay.keys.KeyedExecutor;
import org.wigeonwharf.relay.keys.KeyedRequest;
import org.wigeonwharf.schedule.ShardMap;

/**
 * Executes the requests whose keys this process issued, according to its current configuration;
 * their callers may be connected to any router.
 */
public final class LocalKeyedExecutor implements KeyedExecutor {
  private final FailureDomain domain;
  private final ConfigStore store;
  private final RelayContext context;
  private final RequestIdGenerator ids;
  private Snapshot shardMapSnapshot = Snapshot.NONE;
  private ShardMap shardMap = ShardMap.of(Snapshot.NONE.config());

  /**
   * Creates the executor of one process.
   *
   * @param domain the failure domain of this process
   * @param store holds the current configuration
   * @param context the objects shared by all requests
   * @param ids generates the request ids
   */
  public LocalKeyedExecutor(
      FailureDomain domain, ConfigStore store, RelayContext context, RequestIdGenerator ids) {
    this.domain = domain;
    this.store = store;
    this.context = context;
    this.ids = ids;
  }

  @Override
  public synchronized void execute(KeyedRequest request, CompletionListener listener) {
    Snapshot snapshot = store.current();
    RequestId id = ids.next();
    Optional<RequestTraits> traits = resolveTraits(request, snapshot.config());
    ShardId shard = selectShard(snapshot, request.service(), id.sequence());
    if (traits.isEmpty() || shard == null) {
      RefusalReason reason = traits.isEmpty() ? RefusalReason.UNKNOWN : RefusalReason.NO_SERVER;
      listener.completed(Either.left(Problem.refused(reason, Verdict.NOT_RUN, 0)));
      return;
    }
    new KeyedRequestExecution(id, request, traits.get(), context, listener)
        .start(shard, snapshot.revision());
  }

  private static Optional<RequestTraits> resolveTraits(KeyedRequest r, PublishedConfig config) {
    AccountSpec account = config.accounts().get(r.account());
    ServiceSpec service = config.services().get(r.service());
    ClassSpec serviceClass = config.classes().get(r.serviceClass());
    if (account == null || service == null || serviceClass == null) {
      return Optional.empty();
    }
    return Optional.of(new RequestTraits(account, service, serviceClass, r.path(), false));
  }

  private @Nullable ShardId selectShard(Snapshot snapshot, ServiceId service, long number) {
    if (shardMapSnapshot != snapshot) {
      shardMap = ShardMap.of(snapshot.config());
      shardMapSnapshot = snapshot;
    }
    return ShardSelector.select(shardMap, domain, service, number);
  }
}
