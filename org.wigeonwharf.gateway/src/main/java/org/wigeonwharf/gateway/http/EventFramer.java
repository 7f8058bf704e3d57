package org.wigeonwharf.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream of server-sent events into whole events, so that an interrupted stream can be
 * resumed after its last whole event.
 */
final class EventFramer {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final BiConsumer<byte[], @Nullable String> consumer;
  private final int maxEventBytes;
  private final ByteArrayOutputStream event = new ByteArrayOutputStream(128);
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
  private @Nullable String id;

  /**
   * Creates a framer.
   *
   * @param consumer receives the bytes of each whole event, including the blank line that ends it,
   *     and the event's id or null
   * @param maxEventBytes maximum size of an event, since it is buffered until it is whole
   */
  EventFramer(BiConsumer<byte[], @Nullable String> consumer, int maxEventBytes) {
    this.consumer = consumer;
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Processes the next bytes of the stream.
   *
   * @param bytes the next bytes; may end anywhere in an event
   * @return false if an event exceeds the maximum size, so that the stream can't be continued
   */
  boolean add(byte[] bytes) {
    for (byte b : bytes) {
      if (event.size() >= maxEventBytes) {
        return false;
      }
      event.write(b);
      if (b == '\n') {
        endLine();
      } else if (b != '\r') {
        line.write(b);
      }
    }
    return true;
  }

  private void endLine() {
    byte[] text = line.toByteArray();
    line.reset();
    if (text.length > 0) {
      parseId(text);
      return;
    }
    byte[] eventBytes = event.toByteArray();
    event.reset();
    String eventId = id;
    id = null;
    consumer.accept(eventBytes, eventId);
  }

  private void parseId(byte[] text) {
    if (text.length < ID_FIELD.length) {
      return;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (text[i] != ID_FIELD[i]) {
        return;
      }
    }
    id =
        new String(text, ID_FIELD.length, text.length - ID_FIELD.length, StandardCharsets.UTF_8)
            .strip();
  }

  /**
   * Returns the bytes after the last whole event.
   *
   * @return a copy; empty if the last event is complete
   */
  byte[] remainder() {
    return event.toByteArray();
  }
}
