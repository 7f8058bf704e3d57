package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonwharf.model.Addresses;

/**
 * Guards against a router that ends, stops following the store or fails requests because another
 * writer has left odd entries among those of the servers.
 */
class OddEntriesTest {
  private static final int REQUESTS = 30;
  private static final int TIMEOUT_MILLIS = 5_000;

  @TempDir private Path folder;
  private StoreStandIn store;
  private ScriptedServer server;
  private int requests;

  @BeforeEach
  void start() throws Exception {
    store = new StoreStandIn();
    server = new ScriptedServer(OddEntriesTest::answer);
    store.put("op/config", ConfigurationText.ofAllKinds(1, TIMEOUT_MILLIS));
    store.putServer("i-1", "s1", server.address(), "ready");
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    store.close();
  }

  /** Answers with a load report that makes any other server look less busy. */
  private static void answer(ScriptedServer.Request r, ScriptedServer.Connection c)
      throws IOException {
    String body = "answer " + r.id();
    String load = WireNames.LOAD + ": 6,4,6,100";
    c.write(AnswerText.whole(200, r.id(), body, WireNames.SIGNATURE + ": signed", load));
  }

  /** Returns an entry that is valid but for the text of some fields. */
  private String entry(String address, String slots, String born, String more) {
    String text =
        """
        {"service":"s1","address":"%s","zone":"z1","version":"v1","slots":%s,"state":"ready",
         "cold-left-ms":0,"sequence":1,"born":%s%s}
        """;
    return text.formatted(address, slots, born, more);
  }

  private Map<String, byte[]> oddEntries() {
    String address = Addresses.format(server.address());
    Map<String, String> odd = new LinkedHashMap<>();
    for (int depth : List.of(900, 5_000, 200_000)) {
      String nested = "[".repeat(depth) + "]".repeat(depth);
      odd.put("nested-" + depth, nested);
      odd.put("nested-objects-" + depth, "{\"a\":".repeat(depth) + "1" + "}".repeat(depth));
      odd.put("nested-open-" + depth, "[".repeat(depth));
      odd.put("nested-field-" + depth, entry(address, nested, "1", ""));
      odd.put("nested-born-" + depth, entry(address, "6", nested, ""));
    }
    String digits = "9".repeat(400);
    for (String number : List.of("1e400", "1e999999999", "99999999999", "-1", digits)) {
      odd.put("slots-" + odd.size(), entry(address, number, "1", ""));
    }
    for (String number : List.of("1e400", "1e999999999", digits, "9".repeat(5_000), "-1e300")) {
      odd.put("born-" + odd.size(), entry(address, "6", number, ""));
    }
    for (String port : List.of("99999", "65536", "-1", "0", "4294967376", "", "8080x", digits)) {
      odd.put("port-" + odd.size(), entry("127.0.0.1:" + port, "6", "1", ""));
    }
    for (String host : List.of("999.0.0.1", "1.2.3", ".", "0.0.0.0", "224.0.0.1")) {
      odd.put("host-" + odd.size(), entry(host + ":9", "6", "1", ""));
    }
    odd.put("cut", entry(address, "6", "1", "").substring(0, 40));
    Map<String, byte[]> entries = new LinkedHashMap<>();
    odd.forEach((id, text) -> entries.put("servers/" + id, text.getBytes(StandardCharsets.UTF_8)));
    byte[] valid = entry(address, "6", "1", "").getBytes(StandardCharsets.UTF_8);
    for (String id : List.of("", "a b", "a\r\nX-Evil: 1", "a\u0000b", "é世", "\n")) {
      entries.put("servers/" + id, valid);
    }
    entries.put("servers/bytes", new byte[] {0, 0, (byte) 0xfe, (byte) 0xff, 1, 2});
    return entries;
  }

  /** Sends requests one after the other and checks that each is answered by the sound server. */
  private void assertServes(RouterProcess router) throws Exception {
    List<String> failures = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = "q" + ++requests;
      try (KeptConnection c = new KeptConnection(router.callers())) {
        c.send(RequestText.of(i % 2 == 0 ? "/r/x" : "/u/x", id, TIMEOUT_MILLIS));
        KeptConnection.Response r = c.read();
        if (r.status() != 200 || !r.body().equals("answer " + id)) {
          failures.add(id + ": " + r);
        }
      } catch (IOException e) {
        failures.add(id + ": " + e);
      }
    }
    assertEquals(List.of(), failures);
    assertTrue(router.isAlive());
  }

  @Test
  void oddEntriesThatAreThereBeforeTheRouterStarts() throws Exception {
    oddEntries().forEach(store::putBytes);
    try (RouterProcess router = new RouterProcess(folder, store.address())) {
      router.awaitServer("i-1");
      assertServes(router);
    }
  }

  @Test
  void oddEntriesThatComeWhileTheRouterServes() throws Exception {
    try (RouterProcess router = new RouterProcess(folder, store.address())) {
      router.awaitServer("i-1");
      oddEntries().forEach(store::putBytes);
      store.put("op/config", ConfigurationText.ofAllKinds(2, TIMEOUT_MILLIS));
      router.awaitVersion(2);
      assertServes(router);
      store.dropHistory();
      store.putServer("i-2", "s1", server.address(), "ready");
      router.awaitServer("i-2");
      assertServes(router);
    }
  }
}
