package org.wigeonwharf.router;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import jakarta.inject.Named;
import jakarta.inject.Singleton;
import java.security.SecureRandom;
import org.wigeonwharf.config.ConfigService;
import org.wigeonwharf.config.ConfigSource;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.PlatformContact;
import org.wigeonwharf.config.internal.HttpConfigSource;
import org.wigeonwharf.membership.MembershipService;
import org.wigeonwharf.membership.VmListSource;
import org.wigeonwharf.membership.internal.HttpVmListSource;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.internal.NettyPeerTransport;
import org.wigeonwharf.platform.PlatformClient;
import org.wigeonwharf.relay.RelayLimits;
import org.wigeonwharf.relay.RelayService;
import org.wigeonwharf.router.internal.OperatorService;
import org.wigeonwharf.router.internal.StateDump;
import org.wigeonwharf.schedule.ScheduleService;

/** Provides the parts of a router to Dagger. */
@Module
public final class RouterModule {
  private static final String PLATFORM = "platform";

  private RouterModule() {}

  @Provides
  @Singleton
  static Clock clock() {
    return Clock.system();
  }

  @Provides
  @Singleton
  static MetricRegistry metrics() {
    return new MetricRegistry();
  }

  @Provides
  @Singleton
  static NodeId nodeId(RouterSettings settings) {
    return new NodeId(settings.name(), new SecureRandom().nextLong(1, Long.MAX_VALUE));
  }

  @Provides
  @Singleton
  static PeerTransport transport(RouterSettings settings, NodeId self) {
    return new NettyPeerTransport(
        self, settings.domain(), settings.peerAddress(), settings.secret());
  }

  @Provides
  @Singleton
  @Named(PLATFORM)
  static EventLoopGroup platformLoops() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  @Provides
  @Singleton
  static ConfigSource configSource(RouterSettings settings, @Named(PLATFORM) EventLoopGroup loops) {
    return new HttpConfigSource(new PlatformClient(loops, settings.configAddress()));
  }

  @Provides
  @Singleton
  static VmListSource vmListSource(RouterSettings settings, @Named(PLATFORM) EventLoopGroup loops) {
    return new HttpVmListSource(new PlatformClient(loops, settings.vmListAddress()));
  }

  @Provides
  @Singleton
  static ConfigStore configStore() {
    return new ConfigStore();
  }

  @Provides
  @Singleton
  static PlatformContact platformContact(Clock clock) {
    return new PlatformContact(clock);
  }

  @Provides
  @Singleton
  static ConfigService configService(
      RouterSettings settings,
      ConfigStore store,
      ConfigSource source,
      PlatformContact contact,
      PeerTransport transport,
      MembershipService membership,
      Clock clock) {
    return new ConfigService(
        settings.domain(),
        store,
        source,
        contact,
        transport,
        membership::view,
        clock,
        new SecureRandom());
  }

  @Provides
  @Singleton
  static MembershipService membership(
      PeerTransport transport,
      VmListSource vms,
      ConfigStore store,
      PlatformContact contact,
      Clock clock) {
    return new MembershipService(
        transport, vms, () -> store.current().revision(), contact::ageMillis, clock);
  }

  @Provides
  @Singleton
  static ScheduleService schedule(
      NodeId self,
      PeerTransport transport,
      MembershipService membership,
      ConfigStore store,
      ConfigService config,
      Clock clock) {
    return new ScheduleService(self, transport, membership, store, config::onPeerRevision, clock);
  }

  @Provides
  @Singleton
  static RelayService relay(
      RouterSettings settings,
      NodeId self,
      ConfigStore store,
      ScheduleService schedule,
      Clock clock,
      MetricRegistry metrics,
      PeerTransport transport) {
    return new RelayService(
        self,
        settings.domain(),
        settings.callerAddress(),
        store,
        schedule,
        clock,
        metrics,
        RelayLimits.DEFAULT,
        transport,
        settings.secret());
  }

  @Provides
  @Singleton
  static StateDump stateDump(
      NodeId self,
      RouterSettings settings,
      ConfigStore store,
      ConfigService config,
      MembershipService membership,
      ScheduleService schedule,
      RelayService relay) {
    return new StateDump(self, settings.domain(), store, config, membership, schedule, relay);
  }

  @Provides
  @Singleton
  static OperatorService operator(RouterSettings settings, StateDump dump, MetricRegistry metrics) {
    return new OperatorService(settings.operatorAddress(), dump, metrics);
  }

  @Provides
  @Singleton
  static Router router(
      RouterSettings settings,
      @Named(PLATFORM) EventLoopGroup platformLoops,
      PeerTransport transport,
      ConfigService config,
      MembershipService membership,
      ScheduleService schedule,
      RelayService relay,
      OperatorService operator) {
    return new Router(
        settings, platformLoops, transport, config, membership, schedule, relay, operator);
  }
}
