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
  private static final AtomicLong DROPPED_LINES = new AtomicLong();

  /** Free places below which a line is dropped: itself and the line that tells of dropped ones. */
  private static final int MIN_FREE_SLOTS = 2;

  private final AtomicLong unreportedDrops = new AtomicLong();

  /** Returns the number of lines that this process has dropped because nobody read them. */
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
    notice.setMessage("lines dropped, as the log is not read fast enough");
    notice.setKeyValuePairs(
        List.of(new KeyValuePair("event", "log.dropped"), new KeyValuePair("lines", drops)));
    return notice;
  }
}
