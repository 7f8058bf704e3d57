package org.wigeonwharf.router.internal;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;

/**
 * Queues log lines for a writer thread, drops lines while the queue is full, and logs the number of
 * dropped lines as soon as there is space again.
 */
final class BoundedLogAppender extends AsyncAppender {
  private static final AtomicLong DROPPED_LINES = new AtomicLong();

  /**
   * Free queue slots that a line needs: its own, one for the notice of dropped lines before it, and
   * one that stays free for the notice that is written when the appender stops.
   */
  private static final int MIN_FREE_SLOTS = 3;

  /** Guards the free slots between their check and their use, and {@link #unreportedDrops}. */
  private final Object queueLock = new Object();

  private long unreportedDrops;

  /** Returns the number of lines that this process has dropped because the queue was full. */
  static long droppedLines() {
    return DROPPED_LINES.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    synchronized (queueLock) {
      if (getRemainingCapacity() < MIN_FREE_SLOTS) {
        DROPPED_LINES.incrementAndGet();
        unreportedDrops++;
        return;
      }
      reportDrops(event.getInstant(), event.getThreadName());
      super.append(event);
    }
  }

  @Override
  public void stop() {
    synchronized (queueLock) {
      if (isStarted()) {
        reportDrops(Instant.now(), Thread.currentThread().getName());
      }
    }
    super.stop();
  }

  private void reportDrops(Instant time, String thread) {
    if (unreportedDrops > 0) {
      super.append(dropNotice(time, thread, unreportedDrops));
      unreportedDrops = 0;
    }
  }

  private LoggingEvent dropNotice(Instant time, String thread, long drops) {
    LoggingEvent notice = new LoggingEvent();
    notice.setLoggerContext((LoggerContext) getContext());
    notice.setInstant(time);
    notice.setLevel(Level.WARN);
    notice.setLoggerName(BoundedLogAppender.class.getName());
    notice.setThreadName(thread);
    notice.setMessage("log lines dropped because the output is not read fast enough");
    notice.setKeyValuePairs(
        List.of(new KeyValuePair("event", "log.dropped"), new KeyValuePair("lines", drops)));
    return notice;
  }
}
