package org.wigeonwharf.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events after whole events, so that an interrupted stream can be
 * resumed after its last whole event.
 *
 * <p>Blank lines, comments and blocks without data or an id are no events. They are passed on with
 * the events around them, and those ahead of the first event are kept back until it arrives.
 */
final class EventFramer {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

  private final Consumer<EventBatch> consumer;
  private final int maxEventBytes;
  private final EventOrder order;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(128);
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
  private @Nullable String id;
  private @Nullable String lastEventId;
  private boolean withinBlock;
  private boolean hasContent;
  private boolean begun;
  private boolean outOfOrder;
  private int events;
  private int wholeBytes;
  private int bytesSinceEvent;

  /**
   * Creates a framer.
   *
   * @param consumer receives the events of each call of {@link #add} together
   * @param maxEventBytes maximum number of bytes from the end of one event to the end of the next
   * @param order tells which events may follow those that the caller has
   */
  EventFramer(Consumer<EventBatch> consumer, int maxEventBytes, EventOrder order) {
    this.consumer = consumer;
    this.maxEventBytes = maxEventBytes;
    this.order = order;
  }

  /**
   * Processes the next bytes of the stream, and passes on what is whole.
   *
   * @param bytes the next bytes; may end anywhere in an event
   * @return false if the bytes since the last event exceed the maximum or the next event is out of
   *     order, so that the stream can't be continued; events ahead of that are passed on
   */
  boolean add(byte[] bytes) {
    boolean withinLimit = true;
    for (int i = 0; i < bytes.length && withinLimit && !outOfOrder; i++) {
      withinLimit = bytesSinceEvent < maxEventBytes;
      if (withinLimit) {
        add(bytes[i]);
      }
    }
    passOnWhole();
    return withinLimit && !outOfOrder;
  }

  private void add(byte b) {
    buffer.write(b);
    bytesSinceEvent++;
    if (b == '\n') {
      endLine();
    } else if (b != '\r') {
      line.write(b);
    }
  }

  private void endLine() {
    if (line.size() > 0) {
      byte[] text = line.toByteArray();
      line.reset();
      if (!isComment(text)) {
        withinBlock = true;
        parseField(text);
      }
      return;
    }
    if (id != null && !order.accept(id)) {
      outOfOrder = true;
      return;
    }
    wholeBytes = buffer.size();
    withinBlock = false;
    if (hasContent) {
      hasContent = false;
      bytesSinceEvent = 0;
      events++;
      lastEventId = id == null ? lastEventId : id;
      id = null;
    }
  }

  private static boolean isComment(byte[] text) {
    return text[0] == ':';
  }

  private void parseField(byte[] text) {
    if (startsWith(text, ID_FIELD)) {
      id =
          new String(text, ID_FIELD.length, text.length - ID_FIELD.length, StandardCharsets.UTF_8)
              .strip();
      hasContent = true;
    } else if (startsWith(text, DATA_FIELD)
        && (text.length == DATA_FIELD.length || text[DATA_FIELD.length] == ':')) {
      hasContent = true;
    }
  }

  private static boolean startsWith(byte[] text, byte[] prefix) {
    return text.length >= prefix.length
        && Arrays.equals(text, 0, prefix.length, prefix, 0, prefix.length);
  }

  private void passOnWhole() {
    begun |= events > 0;
    if (!begun || wholeBytes == 0) {
      return;
    }
    byte[] all = buffer.toByteArray();
    buffer.reset();
    buffer.write(all, wholeBytes, all.length - wholeBytes);
    final EventBatch batch = new EventBatch(Arrays.copyOf(all, wholeBytes), events, lastEventId);
    wholeBytes = 0;
    events = 0;
    lastEventId = null;
    consumer.accept(batch);
  }

  /** Tells whether the server has sent an event that may not follow those that the caller has. */
  boolean isOutOfOrder() {
    return outOfOrder;
  }

  /** Tells whether the bytes so far end inside an event. */
  boolean isWithinEvent() {
    byte[] text = line.toByteArray();
    return withinBlock || (text.length > 0 && !isComment(text));
  }

  /**
   * Returns the bytes that were not passed on.
   *
   * @return a copy; without an event's bytes unless {@link #isWithinEvent}
   */
  byte[] remainder() {
    return buffer.toByteArray();
  }
}
