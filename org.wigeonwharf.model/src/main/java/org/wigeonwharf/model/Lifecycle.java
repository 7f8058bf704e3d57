package org.wigeonwharf.model;

/** A component that owns threads or sockets and can be started and stopped. */
public interface Lifecycle {
  /**
   * Acquires the component's resources and begins work.
   *
   * @throws Exception if a resource could not be acquired; the component then holds none
   */
  void start() throws Exception;

  /**
   * Ends work and releases everything that {@link #start()} acquired; a second call does nothing.
   */
  void stop();
}
