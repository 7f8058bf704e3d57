package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the exit codes of the wigeonwharf program and that it reports every invalid setting by
 * file, key and reason, without printing the fleet secret.
 */
class MainTest {
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path folder;

  private int run(String... args) {
    return Main.run(args, new PrintStream(out), new PrintStream(err));
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private String writeSettings(String text) throws IOException {
    Path file = folder.resolve("router.toml");
    Files.writeString(file, text);
    return file.toString();
  }

  @Test
  void helpAndVersionExitWithZero() {
    assertEquals(0, run("--help"));
    assertTrue(text(out).contains("--settings"), text(out));
    assertEquals(0, run("--version"));
    assertEquals("", text(err));
  }

  @Test
  void wrongUsageExitsWithTwoAndPrintsReasonToStandardError() {
    assertEquals(2, run());
    assertEquals(2, run("--no-such-option"));
    assertEquals(2, run("--settings", "a.toml", "extra"));
    assertEquals("", text(out));
    assertEquals(3, text(err).lines().count());
  }

  @Test
  void everyInvalidSettingIsReportedWithFileKeyAndReason() throws IOException {
    String file =
        writeSettings(
            """
            name = "vm1"
            failure_domian = "hobart-a"
            fleet_secret = "short"
            [listen]
            callers = "localhost:80"
            peers = "127.0.0.1:0"
            operators = 9
            [platform]
            configuration = "127.0.0.1:1"
            """);
    assertEquals(1, run("--settings", file));
    String faults = text(err);
    assertTrue(faults.contains("router.toml:failure_domain: is required"), faults);
    assertTrue(faults.contains("did you mean 'failure_domain'?"), faults);
    assertTrue(faults.contains("router.toml:fleet_secret: shorter than"), faults);
    assertTrue(faults.contains("router.toml:listen.callers: expected an IP address"), faults);
    assertTrue(faults.contains("router.toml:listen.operators: expected a text"), faults);
    assertTrue(faults.contains("router.toml:platform.vm_list: is required"), faults);
    assertTrue(!faults.contains("\"short\""), "the secret's text must not be printed: " + faults);
  }

  @Test
  void missingSettingsFileIsReportedWithItsName() {
    assertEquals(1, run("--settings", folder.resolve("none.toml").toString()));
    assertTrue(text(err).startsWith("none.toml:-: can't be read"), text(err));
  }
}
