package org.wigeonwharf.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.Arrays;
import java.util.Random;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.api.Test;

/** Compares the signatures with those of the JDK's own implementation. */
class HmacSha256Test {
  private static final int SIZES = 200;

  private final Random random = new Random(5);

  private byte[] randomBytes(int length) {
    byte[] bytes = new byte[length];
    random.nextBytes(bytes);
    return bytes;
  }

  private static byte[] expected(byte[] key, byte[] message) throws Exception {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(key, "HmacSHA256"));
    return mac.doFinal(message);
  }

  @Test
  void signaturesAreThoseOfTheStandardForAllLengthsOfKeyAndMessage() throws Exception {
    for (int i = 1; i <= SIZES; i++) {
      byte[] key = randomBytes(i);
      HmacSha256 hmac = new HmacSha256(key);
      for (int length : new int[] {0, 1, i, 63, 64, 65, 1_000}) {
        byte[] message = randomBytes(length);
        assertArrayEquals(expected(key, message), hmac.sign(message));
      }
    }
  }

  @Test
  void partsAreSignedLikeTheirConcatenation() throws Exception {
    byte[] key = randomBytes(24);
    byte[] message = randomBytes(300);
    byte[] head = Arrays.copyOf(message, 10);
    byte[] tail = Arrays.copyOfRange(message, 10, message.length);
    assertArrayEquals(expected(key, message), new HmacSha256(key).sign(head, new byte[0], tail));
  }
}
