package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.ServiceId;

/**
 * A KeyedRequest is an unrepeatable request with the key that it came with.
 *
 * @param key the key
 * @param account the caller's client account
 * @param service the service asked for
 * @param serviceClass the service class
 * @param method the HTTP method
 * @param path the path and query that the backend server sees
 * @param headers the end-to-end header fields to send on
 * @param body the whole body
 */
public record KeyedRequest(
    IdempotencyKey key,
    AccountId account,
    ServiceId service,
    ClassId serviceClass,
    String method,
    String path,
    List<HeaderLine> headers,
    ByteString body) {
  private static final String ALGORITHM = "SHA-256";

  /**
   * Returns what tells two requests apart: service, method, path and body.
   *
   * @return a SHA-256 digest; equal for a retry of the same request
   */
  public ByteString digest() {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      updateLengthPrefixed(digest, service.value());
      updateLengthPrefixed(digest, method);
      updateLengthPrefixed(digest, path);
      digest.update(body.asReadOnlyByteBuffer());
      return ByteString.copyFrom(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the JDK lacks " + ALGORITHM, e);
    }
  }

  private static void updateLengthPrefixed(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }
}
