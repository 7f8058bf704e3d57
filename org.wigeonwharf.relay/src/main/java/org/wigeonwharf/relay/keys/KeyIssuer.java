package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/**
 * A KeyIssuer makes and checks idempotency keys.
 *
 * <p>A key carries its own proof and age, so that issued keys that nobody uses take no memory. Safe
 * for use by several threads.
 */
public final class KeyIssuer {
  private static final byte[] MAC_CONTEXT =
      "wigeonwharf idempotency key".getBytes(StandardCharsets.UTF_8);
  private static final int MAC_BYTES = 16;

  private final NodeId self;
  private final FleetSecret secret;
  private final Clock clock;
  private final long startNanos;
  private final AtomicLong lastSequence = new AtomicLong();

  /**
   * Creates the issuer of one process.
   *
   * @param self the own process
   * @param secret signs the keys
   * @param clock the process's clock
   */
  public KeyIssuer(NodeId self, FleetSecret secret, Clock clock) {
    this.self = self;
    this.secret = secret;
    this.clock = clock;
    this.startNanos = clock.nanos();
  }

  /**
   * Issues a key.
   *
   * @param account the only client account that may use it
   * @return a key that was never issued before
   */
  public IdempotencyKey issue(AccountId account) {
    long sequence = lastSequence.incrementAndGet();
    long issuedMillis = millisSinceStart();
    return new IdempotencyKey(
        self, sequence, issuedMillis, computeMac(self, sequence, issuedMillis, account));
  }

  /**
   * Tells whether a process of the fleet issued a key for an account.
   *
   * @param key the key
   * @param account the client account that uses it
   * @return false if the key is forged or another account's
   */
  public boolean isAuthentic(IdempotencyKey key, AccountId account) {
    ByteString expected = computeMac(key.issuer(), key.sequence(), key.issuedMillis(), account);
    return MessageDigest.isEqual(expected.toByteArray(), key.mac().toByteArray());
  }

  /**
   * Tells whether the own process issued a key.
   *
   * @param key an authentic key
   * @return false for another process, also an earlier one on the same entry VM
   */
  public boolean isOwn(IdempotencyKey key) {
    return key.issuer().equals(self);
  }

  /**
   * Returns the age of a key.
   *
   * @param key a key of the own process
   * @return milliseconds since it was issued
   */
  public long ageMillis(IdempotencyKey key) {
    return millisSinceStart() - key.issuedMillis();
  }

  private long millisSinceStart() {
    return (clock.nanos() - startNanos) / Clock.NANOS_PER_MILLI;
  }

  private ByteString computeMac(
      NodeId issuer, long sequence, long issuedMillis, AccountId account) {
    byte[] nameBytes = issuer.name().getBytes(StandardCharsets.UTF_8);
    ByteBuffer fixedFields =
        ByteBuffer.allocate(Long.BYTES * 3 + Integer.BYTES)
            .putLong(issuer.incarnation())
            .putLong(sequence)
            .putLong(issuedMillis)
            .putInt(nameBytes.length);
    byte[] accountBytes = account.value().getBytes(StandardCharsets.UTF_8);
    return ByteString.copyFrom(
        secret.sign(MAC_CONTEXT, fixedFields.array(), nameBytes, accountBytes), 0, MAC_BYTES);
  }
}
