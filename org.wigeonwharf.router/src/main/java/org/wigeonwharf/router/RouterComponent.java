package org.wigeonwharf.router;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;

/** A RouterComponent is the object graph of one router process. */
@Singleton
@Component(modules = RouterModule.class)
public interface RouterComponent {
  /** Returns the router, with all its parts constructed and none started. */
  Router router();

  /** A Factory makes a component from checked settings. */
  @Component.Factory
  interface Factory {
    /**
     * Makes a component.
     *
     * @param settings the process settings
     * @return the object graph
     */
    RouterComponent create(@BindsInstance RouterSettings settings);
  }
}
