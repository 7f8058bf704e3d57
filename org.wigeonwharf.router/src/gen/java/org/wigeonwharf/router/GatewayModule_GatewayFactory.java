package org.wigeonwharf.router;

import com.codahale.metrics.MetricRegistry;
import dagger.internal.DaggerGenerated;
import dagger.internal.Factory;
import dagger.internal.Preconditions;
import dagger.internal.Provider;
import dagger.internal.QualifierMetadata;
import dagger.internal.ScopeMetadata;
import io.netty.channel.EventLoopGroup;
import java.security.SecureRandom;
import javax.annotation.processing.Generated;
import org.wigeonwharf.gateway.Gateway;
import org.wigeonwharf.gateway.GatewaySettings;
import org.wigeonwharf.gateway.feed.PublishedStore;
import org.wigeonwharf.gateway.http.ExchangeProtocol;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;

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
public final class GatewayModule_GatewayFactory implements Factory<Gateway> {
  private final Provider<GatewaySettings> settingsProvider;

  private final Provider<NodeId> selfProvider;

  private final Provider<EventLoopGroup> loopsProvider;

  private final Provider<PublishedStore> storeProvider;

  private final Provider<ExchangeProtocol> protocolProvider;

  private final Provider<Clock> clockProvider;

  private final Provider<SecureRandom> randomProvider;

  private final Provider<MetricRegistry> metricsProvider;

  private GatewayModule_GatewayFactory(Provider<GatewaySettings> settingsProvider,
      Provider<NodeId> selfProvider, Provider<EventLoopGroup> loopsProvider,
      Provider<PublishedStore> storeProvider, Provider<ExchangeProtocol> protocolProvider,
      Provider<Clock> clockProvider, Provider<SecureRandom> randomProvider,
      Provider<MetricRegistry> metricsProvider) {
    this.settingsProvider = settingsProvider;
    this.selfProvider = selfProvider;
    this.loopsProvider = loopsProvider;
    this.storeProvider = storeProvider;
    this.protocolProvider = protocolProvider;
    this.clockProvider = clockProvider;
    this.randomProvider = randomProvider;
    this.metricsProvider = metricsProvider;
  }

  @Override
  public Gateway get() {
    return gateway(settingsProvider.get(), selfProvider.get(), loopsProvider.get(), storeProvider.get(), protocolProvider.get(), clockProvider.get(), randomProvider.get(), metricsProvider.get());
  }

  public static GatewayModule_GatewayFactory create(Provider<GatewaySettings> settingsProvider,
      Provider<NodeId> selfProvider, Provider<EventLoopGroup> loopsProvider,
      Provider<PublishedStore> storeProvider, Provider<ExchangeProtocol> protocolProvider,
      Provider<Clock> clockProvider, Provider<SecureRandom> randomProvider,
      Provider<MetricRegistry> metricsProvider) {
    return new GatewayModule_GatewayFactory(settingsProvider, selfProvider, loopsProvider, storeProvider, protocolProvider, clockProvider, randomProvider, metricsProvider);
  }

  public static Gateway gateway(GatewaySettings settings, NodeId self, EventLoopGroup loops,
      PublishedStore store, ExchangeProtocol protocol, Clock clock, SecureRandom random,
      MetricRegistry metrics) {
    return Preconditions.checkNotNullFromProvides(GatewayModule.gateway(settings, self, loops, store, protocol, clock, random, metrics));
  }
}
