package org.wigeonwharf.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** A FleetSecret proves that a process belongs to the fleet; it never shows in logs or dumps. */
public final class FleetSecret {
  /** Smallest accepted secret, in characters. */
  public static final int MIN_LENGTH = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;

  /**
   * Creates the secret from the process settings' text.
   *
   * @param text at least {@link #MIN_LENGTH} characters
   * @throws IllegalArgumentException if the text is too short
   */
  public FleetSecret(String text) {
    if (text.length() < MIN_LENGTH) {
      throw new IllegalArgumentException("shorter than " + MIN_LENGTH + " characters");
    }
    this.key = new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  /**
   * Signs a challenge.
   *
   * @param parts the bytes to sign, in order
   * @return 32 bytes
   */
  public byte[] sign(byte[]... parts) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      for (byte[] part : parts) {
        mac.update(part);
      }
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the JDK lacks " + ALGORITHM, e);
    }
  }

  /**
   * Checks a signature in constant time.
   *
   * @param signature the received bytes
   * @param parts the bytes that should have been signed, in order
   * @return true if the signer knows this secret
   */
  public boolean verify(byte[] signature, byte[]... parts) {
    return MessageDigest.isEqual(signature, sign(parts));
  }

  @Override
  public String toString() {
    return "FleetSecret(hidden)";
  }
}
