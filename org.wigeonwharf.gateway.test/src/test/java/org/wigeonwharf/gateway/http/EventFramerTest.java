package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against events that are split or lost where a network read ends inside an event. */
class EventFramerTest {
  private static final String STREAM =
      "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\ndata: c\nid: 3\n\nid: 4\ndata: d";

  private static final int MAX_EVENT_BYTES = 1_000;

  private final List<String> events = new ArrayList<>();
  private final List<String> ids = new ArrayList<>();
  private final EventFramer framer =
      new EventFramer(
          (bytes, id) -> {
            events.add(new String(bytes, StandardCharsets.UTF_8));
            ids.add(String.valueOf(id));
          },
          MAX_EVENT_BYTES);

  @Property(tries = 100, seed = "20261204")
  void framesEventsRegardlessOfChunkBoundaries(@ForAll @IntRange(min = 1, max = 20) int size) {
    events.clear();
    ids.clear();
    EventFramer f =
        new EventFramer(
            (bytes, id) -> {
              events.add(new String(bytes, StandardCharsets.UTF_8));
              ids.add(String.valueOf(id));
            },
            MAX_EVENT_BYTES);
    for (int i = 0; i < STREAM.length(); i += size) {
      String part = STREAM.substring(i, Math.min(STREAM.length(), i + size));
      f.add(part.getBytes(StandardCharsets.UTF_8));
    }
    assertEquals(List.of("1", "null", "2", "3"), ids);
    String remainder = new String(f.remainder(), StandardCharsets.UTF_8);
    assertEquals(STREAM, String.join("", events) + remainder);
    assertEquals("id: 4\ndata: d", remainder);
  }

  @Test
  void eventWithoutEndIsRejectedOnceItExceedsTheMaximumSize() {
    assertTrue(framer.add(new byte[MAX_EVENT_BYTES]));
    assertFalse(framer.add(new byte[1]));
    assertEquals(MAX_EVENT_BYTES, framer.remainder().length);
  }

  @Test
  void remainderIsEmptyAfterWholeEvent() {
    framer.add("id: 1\n\n".getBytes(StandardCharsets.UTF_8));
    assertEquals(0, framer.remainder().length);
    assertEquals(List.of("id: 1\n\n"), events);
  }
}
