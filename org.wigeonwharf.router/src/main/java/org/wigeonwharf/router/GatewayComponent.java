package org.wigeonwharf.router;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.wigeonwharf.gateway.Gateway;
import org.wigeonwharf.gateway.GatewaySettings;

/** A GatewayComponent is the object graph of one gateway process. */
@Singleton
@Component(modules = GatewayModule.class)
public interface GatewayComponent {
  /** Returns the gateway, with all its parts constructed and none started. */
  Gateway gateway();

  /** A Factory makes a component from checked settings. */
  @Component.Factory
  interface Factory {
    /**
     * Makes a component.
     *
     * @param settings the process settings
     * @return the object graph
     */
    GatewayComponent create(@BindsInstance GatewaySettings settings);
  }
}
