package org.wigeonwharf.schedule;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.config.AccountLimits;
import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.ServiceKind;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.model.Tier;

/** Builds small configurations for tests. */
final class ConfigBuilder {
  static final ServiceId SERVICE = new ServiceId("s");
  static final FailureDomain DOMAIN = new FailureDomain("d");
  static final ShardId SHARD = new ShardId(SERVICE, DOMAIN, 0);
  static final AccountLimits UNLIMITED =
      new AccountLimits(
          AccountLimits.MAX_RATE, AccountLimits.MAX_RATE, AccountLimits.MAX_CONCURRENT);

  final Map<ClassId, ClassSpec> classes = new LinkedHashMap<>();
  final Map<AccountId, AccountSpec> accounts = new LinkedHashMap<>();
  final Map<ServerId, BackendServer> servers = new LinkedHashMap<>();
  int waitingPlaces = 1_000;
  boolean resumable = true;

  ConfigBuilder classOf(
      String name, int rank, long targetMillis, long deadlineMillis, double share, int places) {
    ClassId id = new ClassId(name);
    classes.put(
        id,
        new ClassSpec(
            id,
            new Tier("t" + rank, rank),
            Duration.ofMillis(targetMillis),
            Duration.ofMillis(67),
            Duration.ofMillis(deadlineMillis),
            share,
            places,
            rank == 0 ? 50 : 1_000,
            false));
    return this;
  }

  ConfigBuilder account(String name, double weight, AccountLimits limits) {
    AccountId id = new AccountId(name);
    ClassId first = classes.keySet().iterator().next();
    accounts.put(id, new AccountSpec(id, Set.of(), classes.keySet(), first, true, weight, limits));
    return this;
  }

  ConfigBuilder server(String name, int slots, boolean leaving) {
    ServerId id = new ServerId(name);
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    servers.put(id, new BackendServer(id, SERVICE, DOMAIN, address, slots, leaving));
    return this;
  }

  PublishedConfig build() {
    ServiceSpec service =
        new ServiceSpec(
            SERVICE, ServiceKind.MODEL, 32, Set.of(), resumable, waitingPlaces, List.of(), servers);
    return new PublishedConfig(
        Map.of(), Map.copyOf(classes), Map.of(SERVICE, service), Map.copyOf(accounts));
  }

  List<BackendServer> serverList() {
    return new ArrayList<>(servers.values());
  }
}
