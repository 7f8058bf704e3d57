package org.wigeonwharf.peer;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Computes HMAC-SHA256 (RFC 2104) with one key. Not thread-safe.
 *
 * <p>The JDK's own implementation loads all security providers and reads all jars of the class path
 * when it is first used, which delays the first messages of a router that has just started.
 */
final class HmacSha256 {
  private static final String DIGEST = "SHA-256";

  /** Block size of the digest in bytes. */
  private static final int BLOCK_BYTES = 64;

  private static final byte INNER_PAD = 0x36;
  private static final byte OUTER_PAD = 0x5c;

  private final MessageDigest digest;
  private final byte[] innerKey;
  private final byte[] outerKey;

  /**
   * Creates a function with a key.
   *
   * @param key the key's bytes, of any length
   * @throws IllegalStateException if the JDK does not provide SHA-256
   */
  HmacSha256(byte[] key) {
    this.digest = createDigest();
    byte[] block = Arrays.copyOf(key.length > BLOCK_BYTES ? digest.digest(key) : key, BLOCK_BYTES);
    this.innerKey = pad(block, INNER_PAD);
    this.outerKey = pad(block, OUTER_PAD);
  }

  private static MessageDigest createDigest() {
    try {
      return MessageDigest.getInstance(DIGEST);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("JDK does not provide " + DIGEST, e);
    }
  }

  private static byte[] pad(byte[] block, byte pad) {
    byte[] padded = new byte[block.length];
    for (int i = 0; i < block.length; i++) {
      padded[i] = (byte) (block[i] ^ pad);
    }
    return padded;
  }

  /**
   * Signs the concatenated parts.
   *
   * @param parts the bytes to sign, in order
   * @return the signature, 32 bytes
   */
  byte[] sign(byte[]... parts) {
    digest.update(innerKey);
    for (byte[] part : parts) {
      digest.update(part);
    }
    byte[] inner = digest.digest();
    digest.update(outerKey);
    return digest.digest(inner);
  }
}
