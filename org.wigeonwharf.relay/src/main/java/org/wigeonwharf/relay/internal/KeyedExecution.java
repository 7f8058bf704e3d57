package org.wigeonwharf.relay.internal;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
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
import org.wigeonwharf.relay.keys.EndListener;
import org.wigeonwharf.relay.keys.KeyedExecutor;
import org.wigeonwharf.relay.keys.KeyedRequest;
import org.wigeonwharf.schedule.ShardMap;

/**
 * A KeyedExecution runs the requests whose keys this process issued, whether their callers are here
 * or at another router, by the configuration in force here.
 */
public final class KeyedExecution implements KeyedExecutor {
  private final FailureDomain domain;
  private final ConfigStore store;
  private final RelayContext context;
  private final RequestIds ids;

  /**
   * Creates the execution of one process.
   *
   * @param domain the own failure domain
   * @param store the configuration in force
   * @param context what all requests share
   * @param ids numbers the requests
   */
  public KeyedExecution(
      FailureDomain domain, ConfigStore store, RelayContext context, RequestIds ids) {
    this.domain = domain;
    this.store = store;
    this.context = context;
    this.ids = ids;
  }

  @Override
  public void execute(KeyedRequest request, EndListener listener) {
    Snapshot snapshot = store.current();
    RequestId id = ids.next();
    Optional<RequestTraits> traits = traits(request, snapshot.config());
    Optional<ShardId> shard = shard(snapshot.config(), request.service(), id.sequence());
    if (traits.isEmpty() || shard.isEmpty()) {
      RefusalReason reason = traits.isEmpty() ? RefusalReason.UNKNOWN : RefusalReason.NO_SERVER;
      listener.ended(Either.left(Problem.refused(reason, Verdict.NOT_RUN, 0)));
      return;
    }
    new KeyedRun(id, request, traits.get(), context, listener)
        .start(shard.get(), snapshot.revision());
  }

  private static Optional<RequestTraits> traits(KeyedRequest r, PublishedConfig config) {
    AccountSpec account = config.accounts().get(r.account());
    ServiceSpec service = config.services().get(r.service());
    ClassSpec serviceClass = config.classes().get(r.serviceClass());
    if (account == null || service == null || serviceClass == null) {
      return Optional.empty();
    }
    return Optional.of(new RequestTraits(account, service, serviceClass, r.path(), false));
  }

  private Optional<ShardId> shard(PublishedConfig config, ServiceId service, long number) {
    ShardMap shards = ShardMap.of(config);
    List<ShardId> local = shards.shardsOf(service, domain);
    Predicate<ShardId> ofService = s -> s.service().equals(service);
    List<ShardId> choice =
        local.isEmpty() ? shards.shards().keySet().stream().filter(ofService).toList() : local;
    return choice.isEmpty()
        ? Optional.empty()
        : Optional.of(choice.get((int) (number % choice.size())));
  }
}
