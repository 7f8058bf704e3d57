package org.wigeonwharf.router;

import dagger.internal.DaggerGenerated;
import dagger.internal.Factory;
import dagger.internal.Preconditions;
import dagger.internal.Provider;
import dagger.internal.QualifierMetadata;
import dagger.internal.ScopeMetadata;
import javax.annotation.processing.Generated;
import org.wigeonwharf.config.ConfigService;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.membership.MembershipService;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.RelayService;
import org.wigeonwharf.router.internal.StateDump;
import org.wigeonwharf.schedule.ScheduleService;

@ScopeMetadata("jakarta.inject.Singleton")
@QualifierMetadata
@DaggerGenerated
@Generated(
    value = "dagger.internal.codegen.ComponentProcessor",
    comments = "https://dagger.dev"
)
@SuppressWarnings({
    "unchecked",
    "rawtypes",
    "KotlinInternal",
    "KotlinInternalInJava",
    "cast",
    "deprecation",
    "nullness:initialization.field.uninitialized"
})
public final class RouterModule_StateDumpFactory implements Factory<StateDump> {
  private final Provider<NodeId> selfProvider;

  private final Provider<RouterSettings> settingsProvider;

  private final Provider<ConfigStore> storeProvider;

  private final Provider<ConfigService> configProvider;

  private final Provider<MembershipService> membershipProvider;

  private final Provider<ScheduleService> scheduleProvider;

  private final Provider<RelayService> relayProvider;

  private RouterModule_StateDumpFactory(Provider<NodeId> selfProvider,
      Provider<RouterSettings> settingsProvider, Provider<ConfigStore> storeProvider,
      Provider<ConfigService> configProvider, Provider<MembershipService> membershipProvider,
      Provider<ScheduleService> scheduleProvider, Provider<RelayService> relayProvider) {
    this.selfProvider = selfProvider;
    this.settingsProvider = settingsProvider;
    this.storeProvider = storeProvider;
    this.configProvider = configProvider;
    this.membershipProvider = membershipProvider;
    this.scheduleProvider = scheduleProvider;
    this.relayProvider = relayProvider;
  }

  @Override
  public StateDump get() {
    return stateDump(selfProvider.get(), settingsProvider.get(), storeProvider.get(), configProvider.get(), membershipProvider.get(), scheduleProvider.get(), relayProvider.get());
  }

  public static RouterModule_StateDumpFactory create(Provider<NodeId> selfProvider,
      Provider<RouterSettings> settingsProvider, Provider<ConfigStore> storeProvider,
      Provider<ConfigService> configProvider, Provider<MembershipService> membershipProvider,
      Provider<ScheduleService> scheduleProvider, Provider<RelayService> relayProvider) {
    return new RouterModule_StateDumpFactory(selfProvider, settingsProvider, storeProvider, configProvider, membershipProvider, scheduleProvider, relayProvider);
  }

  public static StateDump stateDump(NodeId self, RouterSettings settings, ConfigStore store,
      ConfigService config, MembershipService membership, ScheduleService schedule,
      RelayService relay) {
    return Preconditions.checkNotNullFromProvides(RouterModule.stateDump(self, settings, store, config, membership, schedule, relay));
  }
}
