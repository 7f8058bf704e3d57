package org.wigeonwharf.router;

import dagger.internal.DaggerGenerated;
import dagger.internal.Factory;
import dagger.internal.Preconditions;
import dagger.internal.Provider;
import dagger.internal.QualifierMetadata;
import dagger.internal.ScopeMetadata;
import io.netty.channel.EventLoopGroup;
import javax.annotation.processing.Generated;
import org.wigeonwharf.config.ConfigService;
import org.wigeonwharf.membership.MembershipService;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.relay.RelayService;
import org.wigeonwharf.router.internal.OperatorService;
import org.wigeonwharf.schedule.ScheduleService;

@ScopeMetadata("jakarta.inject.Singleton")
@QualifierMetadata("jakarta.inject.Named")
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
public final class RouterModule_RouterFactory implements Factory<Router> {
  private final Provider<RouterSettings> settingsProvider;

  private final Provider<EventLoopGroup> platformLoopsProvider;

  private final Provider<PeerTransport> transportProvider;

  private final Provider<ConfigService> configProvider;

  private final Provider<MembershipService> membershipProvider;

  private final Provider<ScheduleService> scheduleProvider;

  private final Provider<RelayService> relayProvider;

  private final Provider<OperatorService> operatorProvider;

  private RouterModule_RouterFactory(Provider<RouterSettings> settingsProvider,
      Provider<EventLoopGroup> platformLoopsProvider, Provider<PeerTransport> transportProvider,
      Provider<ConfigService> configProvider, Provider<MembershipService> membershipProvider,
      Provider<ScheduleService> scheduleProvider, Provider<RelayService> relayProvider,
      Provider<OperatorService> operatorProvider) {
    this.settingsProvider = settingsProvider;
    this.platformLoopsProvider = platformLoopsProvider;
    this.transportProvider = transportProvider;
    this.configProvider = configProvider;
    this.membershipProvider = membershipProvider;
    this.scheduleProvider = scheduleProvider;
    this.relayProvider = relayProvider;
    this.operatorProvider = operatorProvider;
  }

  @Override
  public Router get() {
    return router(settingsProvider.get(), platformLoopsProvider.get(), transportProvider.get(), configProvider.get(), membershipProvider.get(), scheduleProvider.get(), relayProvider.get(), operatorProvider.get());
  }

  public static RouterModule_RouterFactory create(Provider<RouterSettings> settingsProvider,
      Provider<EventLoopGroup> platformLoopsProvider, Provider<PeerTransport> transportProvider,
      Provider<ConfigService> configProvider, Provider<MembershipService> membershipProvider,
      Provider<ScheduleService> scheduleProvider, Provider<RelayService> relayProvider,
      Provider<OperatorService> operatorProvider) {
    return new RouterModule_RouterFactory(settingsProvider, platformLoopsProvider, transportProvider, configProvider, membershipProvider, scheduleProvider, relayProvider, operatorProvider);
  }

  public static Router router(RouterSettings settings, EventLoopGroup platformLoops,
      PeerTransport transport, ConfigService config, MembershipService membership,
      ScheduleService schedule, RelayService relay, OperatorService operator) {
    return Preconditions.checkNotNullFromProvides(RouterModule.router(settings, platformLoops, transport, config, membership, schedule, relay, operator));
  }
}
