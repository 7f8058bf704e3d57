package org.wigeonwharf.router.internal;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;

/**
 * Queues log lines for a writer thread, drops lines while the queue is full, and logs the number of
 * dropped lines as soon as there is space again.
 */
final class BoundedLogAppender extends AsyncAppender {
  private static final AtomicLong DROPPED_LINES = new AtomicLong();

  /** Free queue slots that a line needs: its own and one for the notice of dropped lines. */
  private static final int MIN_FREE_SLOTS = 2;

  private final AtomicLong unreportedDrops = new AtomicLong();

  /** Returns the number of lines that this process has dropped because the queue was full. */
  static long droppedLines() {
    return DROPPED_LINES.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() < MIN_FREE_SLOTS) {
      DROPPED_LINES.incrementAndGet();
      unreportedDrops.incrementAndGet();
      return;
    }
    long drops = unreportedDrops.getAndSet(0);
    if (drops > 0) {
      super.append(dropNotice(event, drops));
    }
    super.append(event);
  }

  private LoggingEvent dropNotice(ILoggingEvent next, long drops) {
    LoggingEvent notice = new LoggingEvent();
    notice.setLoggerContext((LoggerContext) getContext());
    notice.setInstant(next.getInstant());
    notice.setLevel(Level.WARN);
    notice.setLoggerName(BoundedLogAppender.class.getName());
    notice.setThreadName(next.getThreadName());
    notice.setMessage("log lines dropped because the output is not read fast enough");
    notice.setKeyValuePairs(
        List.of(new KeyValuePair("event", "log.dropped"), new KeyValuePair("lines", drops)));
    return notice;
  }
}
