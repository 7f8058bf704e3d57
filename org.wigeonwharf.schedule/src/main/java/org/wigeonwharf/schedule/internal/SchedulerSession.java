package org.wigeonwharf.schedule.internal;

import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.ShardId;

/**
 * A FollowedShard is a router's session with the scheduler that it follows for one shard.
 *
 * <p>It counts the messages of the session each way, so that a checkpoint finds a loss. Not
 * thread-safe.
 */
final class SchedulerSession {
  /** Time between checkpoints while anything is held, waited for or unconfirmed. */
  static final long CHECKPOINT_NANOS = 500 * Clock.NANOS_PER_MILLI;

  /** Time between tries to open a session. */
  static final long RETRY_NANOS = 100 * Clock.NANOS_PER_MILLI;

  final ShardId shard;
  final NodeId scheduler;
  long number;
  private boolean open;
  private boolean declined;
  private long sent;
  private long received;
  private long sentAtCheckpoint;
  private long confirmedSent;
  private long confirmedReceived;
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
    dueNanos = nowNanos + (connected ? CHECKPOINT_NANOS : RETRY_NANOS);
  }

  /** Notes that the scheduler does not take the session now; it is asked again later. */
  void declined(long newSession, long nowNanos) {
    number = newSession;
    open = false;
    declined = true;
    dueNanos = nowNanos + RETRY_NANOS;
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
    dueNanos = nowNanos + RETRY_NANOS;
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

  /** Returns the count to put into a checkpoint. */
  long startCheckpoint(long nowNanos) {
    sentAtCheckpoint = sent;
    dueNanos = nowNanos + CHECKPOINT_NANOS;
    return sent;
  }

  /** Takes the scheduler's count and tells whether all of its messages have come. */
  boolean confirm(long schedulerSent) {
    if (schedulerSent != received) {
      return false;
    }
    confirmedSent = sentAtCheckpoint;
    confirmedReceived = received;
    return true;
  }
}
