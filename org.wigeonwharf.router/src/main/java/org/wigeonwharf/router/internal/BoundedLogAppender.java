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
 * A BoundedLogAppender hands lines to a thread that writes them, drops those that find its queue
 * full, and says how many it dropped as soon as there is room again.
 */
final class BoundedLogAppender extends AsyncAppender {
  private static final AtomicLong DROPPED = new AtomicLong();

  /** Free places below which a line is dropped: itself and the line that tells of dropped ones. */
  private static final int MIN_FREE = 2;

  private final AtomicLong untold = new AtomicLong();

  /** Returns the number of lines that this process has dropped because nobody read them. */
  static long dropped() {
    return DROPPED.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() < MIN_FREE) {
      DROPPED.incrementAndGet();
      untold.incrementAndGet();
      return;
    }
    long lines = untold.getAndSet(0);
    if (lines > 0) {
      super.append(droppedLine(event, lines));
    }
    super.append(event);
  }

  private LoggingEvent droppedLine(ILoggingEvent next, long lines) {
    LoggingEvent e = new LoggingEvent();
    e.setLoggerContext((LoggerContext) getContext());
    e.setInstant(next.getInstant());
    e.setLevel(Level.WARN);
    e.setLoggerName(BoundedLogAppender.class.getName());
    e.setThreadName(next.getThreadName());
    e.setMessage("lines dropped, as the log is not read fast enough");
    e.setKeyValuePairs(
        List.of(new KeyValuePair("event", "log.dropped"), new KeyValuePair("lines", lines)));
    return e;
  }
}
