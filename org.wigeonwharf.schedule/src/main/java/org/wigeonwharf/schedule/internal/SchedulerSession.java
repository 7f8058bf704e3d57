package org.wigeonwharf.schedule.internal;

import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.ShardId;

/**
 * A router's session with the scheduler of one shard.
 *
 * <p>It counts the messages of the session in each direction; a checkpoint compares the counts to
 * detect lost messages. Not thread-safe.
 */
final class SchedulerSession {
  /** Interval of checkpoints while there are leases, waiting requests or unconfirmed messages. */
  static final long CHECKPOINT_INTERVAL_NANOS = 500 * Clock.NANOS_PER_MILLI;

  /** Interval of attempts to open a session, and of probes after the scheduler declined. */
  static final long RETRY_INTERVAL_NANOS = 100 * Clock.NANOS_PER_MILLI;

  final ShardId shard;
  final NodeId scheduler;
  long number;
  private boolean open;

  /** True if the session is closed until the scheduler asks for a registration. */
  private boolean declined;

  private long sent;
  private long received;
  private long sentAtCheckpoint;
  private long confirmedSent;
  private long confirmedReceived;

  /** Monotonic time of the next checkpoint or attempt to open the session. */
  private long dueNanos;

  SchedulerSession(ShardId shard, NodeId scheduler) {
    this.shard = shard;
    this.scheduler = scheduler;
  }

  void registrationSent(long newSession, boolean connected, long nowNanos) {
    number = newSession;
    open = connected;
    declined = false;
    sent = 0;
    received = 0;
    sentAtCheckpoint = 0;
    confirmedSent = -1;
    confirmedReceived = 0;
    dueNanos = nowNanos + (connected ? CHECKPOINT_INTERVAL_NANOS : RETRY_INTERVAL_NANOS);
  }

  /** Closes the session; checkpoints probe the scheduler until it asks for a registration. */
  void markDeclined(long newSession, long nowNanos) {
    number = newSession;
    open = false;
    declined = true;
    dueNanos = nowNanos + RETRY_INTERVAL_NANOS;
  }

  boolean isOpen() {
    return open;
  }

  boolean isDeclined() {
    return declined;
  }

  boolean isCurrent(NodeId from, long sessionNumber) {
    return scheduler.equals(from) && sessionNumber == number;
  }

  boolean isDue(long nowNanos) {
    return nowNanos - dueNanos >= 0;
  }

  void scheduleRetry(long nowNanos) {
    dueNanos = nowNanos + RETRY_INTERVAL_NANOS;
  }

  boolean isUnconfirmed() {
    return sent != confirmedSent || received != confirmedReceived;
  }

  void countSent() {
    sent++;
  }

  void countReceived() {
    received++;
  }

  /** Returns the number of sent messages for a new checkpoint and schedules the next one. */
  long startCheckpoint(long nowNanos) {
    sentAtCheckpoint = sent;
    dueNanos = nowNanos + CHECKPOINT_INTERVAL_NANOS;
    return sent;
  }

  /** Applies the reply to a checkpoint; returns false if a message of the scheduler was lost. */
  boolean confirm(long schedulerSent) {
    if (schedulerSent != received) {
      return false;
    }
    confirmedSent = sentAtCheckpoint;
    confirmedReceived = received;
    return true;
  }
}
