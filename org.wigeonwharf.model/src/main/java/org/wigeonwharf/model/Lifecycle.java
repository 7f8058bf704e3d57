package org.wigeonwharf.model;

/** A Lifecycle is a part of a process that owns threads or sockets and is started and stopped. */
public interface Lifecycle {
  /**
   * Acquires the part's resources and begins work.
   *
   * @throws Exception if a resource could not be acquired; the part then holds none
   */
  void start() throws Exception;

  /**
   * Ends work and releases everything that {@link #start()} acquired; a second call does nothing.
   */
  void stop();
}
