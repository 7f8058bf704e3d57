package org.wigeonwharf.router;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.wigeonwharf.gateway.Gateway;
import org.wigeonwharf.gateway.GatewaySettings;

/** Builds the object graph of one gateway process. */
@Singleton
@Component(modules = GatewayModule.class)
public interface GatewayComponent {
  /** Returns the gateway, fully constructed but not started. */
  Gateway gateway();

  /** Creates components from validated settings. */
  @Component.Factory
  interface Factory {
    /**
     * Creates a component.
     *
     * @param settings the process settings
     * @return the object graph
     */
    GatewayComponent create(@BindsInstance GatewaySettings settings);
  }
}
