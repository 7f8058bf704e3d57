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
 * An unrepeatable request with its idempotency key.
 *
 * @param key the idempotency key
 * @param account the caller's client account
 * @param service the requested service
 * @param serviceClass the service class
 * @param method the HTTP method
 * @param path the path and query that the backend server sees
 * @param headers the end-to-end header fields to forward
 * @param body the complete body
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
   * Returns a digest of what identifies the request: service, method, path and body.
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
