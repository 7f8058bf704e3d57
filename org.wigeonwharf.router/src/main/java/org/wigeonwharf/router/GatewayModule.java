package org.wigeonwharf.router;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import jakarta.inject.Singleton;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.SplittableRandom;
import org.wigeonwharf.gateway.Gateway;
import org.wigeonwharf.gateway.GatewaySettings;
import org.wigeonwharf.gateway.feed.PublishedStore;
import org.wigeonwharf.gateway.http.ExchangeProtocol;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.platform.HttpPublishedStore;
import org.wigeonwharf.platform.NumberReader;
import org.wigeonwharf.platform.PlatformClient;
import org.wigeonwharf.platform.PlatformProtocol;
import org.wigeonwharf.router.internal.ProcessGauges;

/** Provides the parts of a gateway to Dagger. */
@Module
public final class GatewayModule {
  private GatewayModule() {}

  @Provides
  @Singleton
  static Clock clock() {
    return Clock.system();
  }

  @Provides
  @Singleton
  static MetricRegistry metrics() {
    MetricRegistry metrics = new MetricRegistry();
    ProcessGauges.register(metrics);
    return metrics;
  }

  @Provides
  @Singleton
  static SecureRandom random() {
    return new SecureRandom();
  }

  @Provides
  @Singleton
  static NodeId nodeId(GatewaySettings settings, SecureRandom random) {
    return new NodeId(settings.name(), random.nextLong(1, Long.MAX_VALUE));
  }

  @Provides
  @Singleton
  static EventLoopGroup loops() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  @Provides
  @Singleton
  static NumberReader numbers(MetricRegistry metrics) {
    return new NumberReader(metrics);
  }

  @Provides
  @Singleton
  static PublishedStore store(
      GatewaySettings settings, EventLoopGroup loops, NumberReader numbers) {
    return new HttpPublishedStore(new PlatformClient(loops, settings.storeAddress()), numbers);
  }

  @Provides
  @Singleton
  static ExchangeProtocol protocol(NumberReader numbers) {
    return new PlatformProtocol(numbers);
  }

  @Provides
  @Singleton
  static Gateway gateway(
      GatewaySettings settings,
      NodeId self,
      EventLoopGroup loops,
      PublishedStore store,
      ExchangeProtocol protocol,
      Clock clock,
      SecureRandom random,
      MetricRegistry metrics) {
    return new Gateway(
        settings,
        self,
        loops,
        store,
        protocol,
        clock,
        InstantSource.system(),
        new SplittableRandom(random.nextLong()),
        metrics);
  }
}
