package org.wigeonwharf.standin.measure;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Checks that the measurement depends on its seed and on nothing else.
 *
 * <p>A dependency on the iteration order of a hash map, on wall-clock time or on an unseeded random
 * generator would make results of two runs incomparable.
 */
class MeasureMainTest {
  private static byte[] measure(String seed) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes);
    String[] args = {"--config", "../measure", "--user", "liitto", "--seed", seed};
    assertEquals(0, MeasureMain.run(args, out, out));
    return bytes.toByteArray();
  }

  @Test
  void sameSeedPrintsTheSameBytes() {
    assertArrayEquals(measure("7"), measure("7"));
  }

  @Test
  void differentSeedPrintsDifferentFigures() {
    assertFalse(Arrays.equals(measure("7"), measure("8")));
  }
}
