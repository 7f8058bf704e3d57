package org.wigeonwharf.standin.measure;

/** A Dispatcher decides which server runs a job, and when. */
interface Dispatcher {
  /** Takes a job that arrived at its router. */
  void submit(Job job);

  /** Takes away a job whose caller has left before the first token. */
  void cancel(Job job);

  /** Does what is due now; called every {@link #TICK_MILLIS}. */
  void tick();

  /** Time between ticks. */
  long TICK_MILLIS = 20;
}
