package org.wigeonwharf.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the output and exit codes of wigeonctl's commands, which operators' scripts rely on.
 * Results go to standard output, faults and usage errors to standard error.
 */
class MainTest {
  private static final String VALID = "[tiers.urgent]\nrank = 0\n";
  private static final String DUMP =
      """
      {"node": "vm1#a", "config": {"revision": 7, "refused_revision": 8, "reader": true},
       "membership": [{"node": "vm0#b", "leaving": false}, {"node": "vm1#a", "leaving": true}],
       "schedule": {"scheduler_of": ["x", "y"]}, "relay": {"in_flight": 3}}
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  @TempDir private Path folder;

  private int run(String... args) {
    out.reset();
    err.reset();
    return Main.run(args, printStream(out), printStream(err));
  }

  private static PrintStream printStream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String folder(String name, String... texts) throws IOException {
    Path dir = Files.createDirectories(folder.resolve(name));
    for (int i = 0; i < texts.length; i++) {
      Files.writeString(dir.resolve(i + ".toml"), texts[i]);
    }
    return dir.toString();
  }

  @Test
  void helpAndVersionGoToStandardOutput() {
    assertEquals(0, run("--help"));
    assertTrue(out().contains("check DIR"), out());
    assertEquals(0, run("--version"));
    assertTrue(out().startsWith("wigeonctl "), out());
    assertEquals("", err());
  }

  @Test
  void wrongUsageExitsWithTwoAndPrintsReasonToStandardError() {
    String[][] wrong = {
      {}, {"chek", "x"}, {"check"}, {"check", "x", "y"}, {"--jsn"}, {"explain", "x"}, {"status"}
    };
    for (String[] args : wrong) {
      assertEquals(2, run(args), String.join(" ", args));
      assertEquals("", out());
      assertTrue(err().startsWith("usage: ") || err().startsWith("wigeonctl: "), err());
    }
  }

  @Test
  void checkPrintsOneLinePerFaultToStandardError() throws IOException {
    assertEquals(0, run("check", folder("good", VALID)));
    assertEquals("accepted: 1 tiers, 0 classes, 0 services, 0 client accounts\n", out());
    assertEquals(1, run("check", folder("bad", VALID, "[tiers.urgent]\nrnk = -1\n", "")));
    assertEquals("2.toml:line 1: is empty\n", err());
    Files.writeString(folder.resolve("bad/2.toml"), "[classes.a]\ntier = 'none'\n");
    assertEquals(1, run("check", folder.resolve("bad").toString()));
    assertEquals(
        "1.toml:tiers.urgent.rnk: unknown key; did you mean 'rank'?\n"
            + "2.toml:classes.a.tier: no tier is named 'none'\n",
        err());
    assertEquals("", out());
  }

  @Test
  void jsonOptionPrintsOneDocumentToStandardOutput() throws IOException {
    assertEquals(1, run("--json", "check", folder("bad", "")));
    assertTrue(out().contains("\"ok\":false") && out().contains("\"reason\":\"is empty\""), out());
    assertEquals(1, run("--json", "status", "127.0.0.1:1", "nowhere"));
    assertEquals(1, out().lines().count());
    assertEquals("", err());
  }

  @Test
  void explainNamesEffectiveFileAndOverriddenFiles() throws IOException {
    String dir = folder("good", VALID, "[tiers.urgent]\nrank = 3\n");
    assertEquals(0, run("explain", dir, "tiers.urgent.rank"));
    assertEquals("tiers.urgent.rank = 3  from 1.toml\n  overrides 0  from 0.toml\n", out());
    assertEquals(1, run("explain", dir, "tiers.urgent.name"));
    assertEquals("-:tiers.urgent.name: is set by no file\n", err());
  }

  @Test
  void diffMarksLoweredValues() throws IOException {
    String classes = "[classes.crew]\ntier = 'urgent'\nshare = %s\n";
    String before = folder("before", VALID, classes.formatted("0.5"));
    assertEquals(0, run("diff", before, folder("after", VALID, classes.formatted("0.4"))));
    assertEquals("LOWERED classes.crew.share: 0.5 -> 0.4\n", out());
    assertEquals(0, run("diff", before, folder("raised", VALID, classes.formatted("0.6"))));
    assertEquals("classes.crew.share: 0.5 -> 0.6\n", out());
  }

  @Test
  void statusShowsRevisionRefusedRevisionRoleAndDrainState() throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/dump",
        exchange -> {
          byte[] body = DUMP.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    try {
      String address = "127.0.0.1:" + server.getAddress().getPort();
      assertEquals(1, run("status", address, "127.0.0.1:1"));
      assertEquals(
          address
              + " vm1#a revision 7 (refused 8), reader, scheduler of 2 shards, draining,"
              + " 3 in flight\n",
          out());
      assertTrue(err().startsWith("127.0.0.1:1:dump: can't be read: "), err());
    } finally {
      server.stop(0);
    }
  }
}
