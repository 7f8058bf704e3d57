package org.wigeonwharf.router;

import com.codahale.metrics.MetricRegistry;
import dagger.internal.DaggerGenerated;
import dagger.internal.DoubleCheck;
import dagger.internal.InstanceFactory;
import dagger.internal.Preconditions;
import dagger.internal.Provider;
import io.netty.channel.EventLoopGroup;
import javax.annotation.processing.Generated;
import org.wigeonwharf.config.ConfigService;
import org.wigeonwharf.config.ConfigSource;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.PlatformContact;
import org.wigeonwharf.membership.MembershipService;
import org.wigeonwharf.membership.VmListSource;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.relay.RelayService;
import org.wigeonwharf.router.internal.OperatorService;
import org.wigeonwharf.router.internal.StateDump;
import org.wigeonwharf.schedule.ScheduleService;

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
public final class DaggerRouterComponent {
  private DaggerRouterComponent() {
  }

  public static RouterComponent.Factory factory() {
    return new Factory();
  }

  private static final class Factory implements RouterComponent.Factory {
    @Override
    public RouterComponent create(RouterSettings settings) {
      Preconditions.checkNotNull(settings);
      return new RouterComponentImpl(settings);
    }
  }

  private static final class RouterComponentImpl implements RouterComponent {
    private final RouterComponentImpl routerComponentImpl = this;

    Provider<RouterSettings> settingsProvider;

    Provider<EventLoopGroup> platformLoopsProvider;

    Provider<NodeId> nodeIdProvider;

    Provider<PeerTransport> transportProvider;

    Provider<ConfigStore> configStoreProvider;

    Provider<ConfigSource> configSourceProvider;

    Provider<Clock> clockProvider;

    Provider<PlatformContact> platformContactProvider;

    Provider<VmListSource> vmListSourceProvider;

    Provider<MembershipService> membershipProvider;

    Provider<ConfigService> configServiceProvider;

    Provider<ScheduleService> scheduleProvider;

    Provider<MetricRegistry> metricsProvider;

    Provider<RelayService> relayProvider;

    Provider<StateDump> stateDumpProvider;

    Provider<OperatorService> operatorProvider;

    Provider<Router> routerProvider;

    RouterComponentImpl(RouterSettings settingsParam) {

      initialize(settingsParam);

    }

    @SuppressWarnings("unchecked")
    private void initialize(final RouterSettings settingsParam) {
      this.settingsProvider = InstanceFactory.create(settingsParam);
      this.platformLoopsProvider = DoubleCheck.provider(RouterModule_PlatformLoopsFactory.create());
      this.nodeIdProvider = DoubleCheck.provider(RouterModule_NodeIdFactory.create(settingsProvider));
      this.transportProvider = DoubleCheck.provider(RouterModule_TransportFactory.create(settingsProvider, nodeIdProvider));
      this.configStoreProvider = DoubleCheck.provider(RouterModule_ConfigStoreFactory.create());
      this.configSourceProvider = DoubleCheck.provider(RouterModule_ConfigSourceFactory.create(settingsProvider, platformLoopsProvider));
      this.clockProvider = DoubleCheck.provider(RouterModule_ClockFactory.create());
      this.platformContactProvider = DoubleCheck.provider(RouterModule_PlatformContactFactory.create(clockProvider));
      this.vmListSourceProvider = DoubleCheck.provider(RouterModule_VmListSourceFactory.create(settingsProvider, platformLoopsProvider));
      this.membershipProvider = DoubleCheck.provider(RouterModule_MembershipFactory.create(transportProvider, vmListSourceProvider, configStoreProvider, platformContactProvider, clockProvider));
      this.configServiceProvider = DoubleCheck.provider(RouterModule_ConfigServiceFactory.create(settingsProvider, configStoreProvider, configSourceProvider, platformContactProvider, transportProvider, membershipProvider, clockProvider));
      this.scheduleProvider = DoubleCheck.provider(RouterModule_ScheduleFactory.create(nodeIdProvider, transportProvider, membershipProvider, configStoreProvider, configServiceProvider, clockProvider));
      this.metricsProvider = DoubleCheck.provider(RouterModule_MetricsFactory.create());
      this.relayProvider = DoubleCheck.provider(RouterModule_RelayFactory.create(settingsProvider, nodeIdProvider, configStoreProvider, scheduleProvider, clockProvider, metricsProvider, transportProvider));
      this.stateDumpProvider = DoubleCheck.provider(RouterModule_StateDumpFactory.create(nodeIdProvider, settingsProvider, configStoreProvider, configServiceProvider, membershipProvider, scheduleProvider, relayProvider));
      this.operatorProvider = DoubleCheck.provider(RouterModule_OperatorFactory.create(settingsProvider, stateDumpProvider, metricsProvider));
      this.routerProvider = DoubleCheck.provider(RouterModule_RouterFactory.create(settingsProvider, platformLoopsProvider, transportProvider, configServiceProvider, membershipProvider, scheduleProvider, relayProvider, operatorProvider));
    }

    @Override
    public Router router() {
      return routerProvider.get();
    }
  }
}
