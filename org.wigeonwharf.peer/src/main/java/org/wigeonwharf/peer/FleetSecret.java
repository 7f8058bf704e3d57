package org.wigeonwharf.peer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Authenticates the processes of a fleet to each other by HMAC-SHA256 under a shared secret.
 *
 * <p>The secret never appears in logs or dumps.
 */
public final class FleetSecret {
  /** Minimum length of the secret, in characters. */
  public static final int MIN_LENGTH = 16;

  // Looking the algorithm up and setting the key cost more than signing a short message.
  private final ThreadLocal<HmacSha256> macs;

  /**
   * Creates the secret from its text in the process settings.
   *
   * @param text at least {@link #MIN_LENGTH} characters
   * @throws IllegalArgumentException if the text is too short
   */
  public FleetSecret(String text) {
    if (text.length() < MIN_LENGTH) {
      throw new IllegalArgumentException("shorter than " + MIN_LENGTH + " characters");
    }
    byte[] key = text.getBytes(StandardCharsets.UTF_8);
    this.macs = ThreadLocal.withInitial(() -> new HmacSha256(key));
  }

  /**
   * Computes the HMAC-SHA256 of the concatenated parts.
   *
   * @param parts the bytes to sign, in order
   * @return the signature, 32 bytes
   * @throws IllegalStateException if the JDK does not provide SHA-256
   */
  public byte[] sign(byte[]... parts) {
    return macs.get().sign(parts);
  }

  /**
   * Verifies a signature in constant time.
   *
   * @param signature the received bytes
   * @param parts the bytes that should have been signed, in order
   * @return true if the signature was made with this secret
   */
  public boolean verify(byte[] signature, byte[]... parts) {
    return MessageDigest.isEqual(signature, sign(parts));
  }

  @Override
  public String toString() {
    return "FleetSecret(hidden)";
  }
}
