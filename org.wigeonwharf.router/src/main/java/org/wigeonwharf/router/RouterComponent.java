package org.wigeonwharf.router;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;

/** Builds the object graph of one router process. */
@Singleton
@Component(modules = RouterModule.class)
public interface RouterComponent {
  /** Returns the router, fully constructed but not started. */
  Router router();

  /** Creates components from validated settings. */
  @Component.Factory
  interface Factory {
    /**
     * Creates a component.
     *
     * @param settings the process settings
     * @return the object graph
     */
    RouterComponent create(@BindsInstance RouterSettings settings);
  }
}
