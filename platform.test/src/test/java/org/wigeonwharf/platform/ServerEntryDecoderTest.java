package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.store.StorePosition;

/** Guards against invalid entries, as other writers may publish under the keys of servers. */
class ServerEntryDecoderTest {
  private static final StorePosition POSITION = new StorePosition(4, 23);
  private static final String VALID =
      """
      {"service":"s1","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":128,
       "state":"ready","cold-left-ms":0,"stage":"unified","models":[],"sequence":4,"born":17}
      """
          .strip();

  private final ServerEntryDecoder decoder =
      new ServerEntryDecoder(new ObjectMapper(), new NumberReader(new MetricRegistry()));

  private BackendServer decode(String text) throws IOException {
    return decoder.decode("i-1", text.getBytes(StandardCharsets.UTF_8), POSITION);
  }

  @Test
  void decodesAllUsedFields() throws IOException {
    BackendServer s = decode(VALID);
    assertEquals("i-1", s.id());
    assertEquals("s1", s.service());
    assertEquals(8080, s.address().getPort());
    assertEquals("z1", s.domain().value());
    assertEquals(128, s.slots());
    assertEquals(17, s.startedAt());
    assertEquals(0, s.coldMillis());
    assertEquals(POSITION, s.position());
    assertFalse(s.draining());
    assertTrue(decode(VALID.replace("ready", "draining")).draining());
  }

  // Guards against an entry of another writer that counts as a software version of its own.
  @Test
  void entryWithoutSoftwareVersionIsRefused() throws IOException {
    assertEquals("v1", decode(VALID).softwareVersion());
    for (String other : List.of("\"\"", "\"  \"", "null", "1", "[]", "{}", "true")) {
      assertThrows(IOException.class, () -> decode(VALID.replace("\"v1\"", other)), other);
    }
    assertThrows(IOException.class, () -> decode(VALID.replace("\"version\":\"v1\",", "")));
  }

  // Guards against a server that stays unused over the form of a figure.
  @Test
  void figureMayBeWrittenWithFraction() throws IOException {
    assertEquals(128, decode(VALID.replace("128,", "128.0,")).slots());
  }

  @Test
  void coldTimeIsRoundedUpAndCountsAsNoneIfItIsNoDuration() throws IOException {
    assertEquals(3_000, decode(cold("3000")).coldMillis());
    assertEquals(2_501, decode(cold("2500.2")).coldMillis());
    for (String invalid : List.of("-5", "\"3000\"", "null", "[]", "true")) {
      assertEquals(0, decode(cold(invalid)).coldMillis(), invalid);
    }
  }

  // Guards against an entry of another writer that replaces the one of a server of another service.
  @Test
  void entryThatLacksFieldThatServersWriteIsRefused() {
    for (String field : List.of("\"cold-left-ms\":0,", ",\"sequence\":4", ",\"born\":17")) {
      assertThrows(IOException.class, () -> decode(VALID.replace(field, "")), field);
    }
    for (String sequence : List.of("\"4\"", "-1", "0.5", "null", "[]")) {
      String text = VALID.replace("\"sequence\":4", "\"sequence\":" + sequence);
      assertThrows(IOException.class, () -> decode(text), sequence);
    }
  }

  private static String cold(String millis) {
    return VALID.replace("\"cold-left-ms\":0", "\"cold-left-ms\":" + millis);
  }

  @Test
  void invalidEntriesAreRejected() {
    for (String[] change :
        List.of(
            new String[] {"\"state\":\"ready\"", "\"state\":\"broken\""},
            new String[] {"\"state\":\"ready\"", "\"state\":1"},
            new String[] {"10.128.0.9:8080", "example.org:80"},
            new String[] {"10.128.0.9:8080", "10.128.0.9"},
            new String[] {"10.128.0.9:8080", "10.128.0:8080"},
            new String[] {"10.128.0.9:8080", "10.128.0.999:8080"},
            new String[] {"10.128.0.9:8080", "10.128.0.9:0"},
            new String[] {"10.128.0.9:8080", "0.0.0.0:8080"},
            new String[] {"10.128.0.9:8080", "[::]:8080"},
            new String[] {"10.128.0.9:8080", "[1:2]:8080"},
            new String[] {"10.128.0.9:8080", "224.0.0.1:8080"},
            new String[] {"10.128.0.9:8080", "10.128.0.9:99999"},
            new String[] {"\"slots\":128", "\"slots\":\"many\""},
            new String[] {"\"slots\":128", "\"slots\":0"},
            new String[] {"\"slots\":128", "\"slots\":0.5"},
            new String[] {"\"slots\":128", "\"slots\":4294967297"},
            new String[] {"\"service\":\"s1\",", ""},
            new String[] {"\"zone\":\"z1\"", "\"zone\":[]"},
            new String[] {"\"born\":17", "\"born\":1.5"},
            new String[] {"\"born\":17", "\"born\":99999999999999999999"},
            new String[] {VALID, "[]"},
            new String[] {VALID, "\u0000\u0001"},
            new String[] {VALID, ""})) {
      String broken = VALID.replace(change[0], change[1]);
      assertThrows(IOException.class, () -> decode(broken), change[1]);
    }
  }
}
