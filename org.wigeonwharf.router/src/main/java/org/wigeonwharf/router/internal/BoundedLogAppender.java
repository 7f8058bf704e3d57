package org.wigeonwharf.router.internal;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;

/**
 * Queues log lines for a writer thread, drops lines while the queue is full, and logs the number of
 * dropped lines as soon as there is space again.
 *
 * <p>Logback's own asynchronous appender loses lines without a count if several threads log, and
 * concatenates strings when it starts, whose linking took a tenth of a router's start time.
 */
final class BoundedLogAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
  private static final AtomicLong DROPPED_LINES = new AtomicLong();

  /**
   * Free queue slots that a line needs: its own, one for the notice of dropped lines before it, and
   * one that stays free for the notice that is written when the appender stops.
   */
  private static final int MIN_FREE_SLOTS = 3;

  /** Maximum time in ms that a stop waits until the queued lines are written. */
  private static final long MAX_FLUSH_MILLIS = 1_000;

  private final Appender<ILoggingEvent> output;
  private final BlockingQueue<ILoggingEvent> queue;
  private final Thread writer = new Thread(this::writeQueuedLines, "log-writer");

  /** Guards the free slots between their check and their use, and {@link #unreportedDrops}. */
  private final Object queueLock = new Object();

  private long unreportedDrops;

  /**
   * Creates an appender that is not started.
   *
   * @param output writes the lines; stopped by this appender
   * @param capacity the maximum number of queued lines
   */
  BoundedLogAppender(Appender<ILoggingEvent> output, int capacity) {
    this.output = output;
    this.queue = new ArrayBlockingQueue<>(capacity);
  }

  /** Returns the number of lines that this process has dropped because the queue was full. */
  static long droppedLines() {
    return DROPPED_LINES.get();
  }

  @Override
  public void start() {
    super.start();
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    synchronized (queueLock) {
      if (queue.remainingCapacity() < MIN_FREE_SLOTS) {
        DROPPED_LINES.incrementAndGet();
        unreportedDrops++;
        return;
      }
      reportDrops(event.getInstant(), event.getThreadName());
      enqueue(event);
    }
  }

  /**
   * Writes the queued lines and a notice of the dropped ones, and waits for that a bounded time.
   */
  @Override
  public void stop() {
    synchronized (queueLock) {
      if (!isStarted()) {
        return;
      }
      reportDrops(Instant.now(), Thread.currentThread().getName());
      super.stop();
    }
    writer.interrupt();
    try {
      writer.join(MAX_FLUSH_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeQueuedLines() {
    try {
      while (isStarted()) {
        output.doAppend(queue.take());
      }
    } catch (InterruptedException e) {
      addInfo("the wait for lines ends because logging stops");
    }
    for (ILoggingEvent e = queue.poll(); e != null; e = queue.poll()) {
      output.doAppend(e);
    }
    output.stop();
  }

  private void reportDrops(Instant time, String thread) {
    if (unreportedDrops > 0) {
      enqueue(dropNotice(time, thread, unreportedDrops));
      unreportedDrops = 0;
    }
  }

  private void enqueue(ILoggingEvent event) {
    event.prepareForDeferredProcessing();
    queue.add(event);
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
