package org.wigeonwharf.standin.measure;

/** Decides which server runs a job, and when. */
interface Dispatcher {
  /** Submits a job that arrived at its router. */
  void submit(Job job);

  /** Cancels a job whose caller disconnected before the first token. */
  void cancel(Job job);

  /** Runs periodic work; called every {@link #TICK_MILLIS} milliseconds of virtual time. */
  void tick();

  /** Time between ticks in milliseconds. */
  long TICK_MILLIS = 20;
}
