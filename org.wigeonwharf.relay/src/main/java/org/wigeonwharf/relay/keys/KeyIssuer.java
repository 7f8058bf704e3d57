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
 * Issues and authenticates idempotency keys.
 *
 * <p>A key carries its own MAC and time of issue, so that unused keys take no memory. Thread-safe.
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
   * @param self this process
   * @param secret the secret that signs the keys
   * @param clock the clock of this process
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
   * @param account the only client account that may use the key
   * @return a key that was never issued before
   */
  public IdempotencyKey issue(AccountId account) {
    long sequence = lastSequence.incrementAndGet();
    long issuedMillis = millisSinceStart();
    return new IdempotencyKey(
        self, sequence, issuedMillis, computeMac(self, sequence, issuedMillis, account));
  }

  /**
   * Returns whether a process of the fleet issued a key to a client account.
   *
   * @param key the key
   * @param account the client account that uses it
   * @return false if the key is forged or was issued to another account
   */
  public boolean isAuthentic(IdempotencyKey key, AccountId account) {
    ByteString expected = computeMac(key.issuer(), key.sequence(), key.issuedMillis(), account);
    return MessageDigest.isEqual(expected.toByteArray(), key.mac().toByteArray());
  }

  /**
   * Returns whether this process issued a key.
   *
   * @param key an authentic key
   * @return false if another process did, including an earlier one on the same entry VM
   */
  public boolean isOwn(IdempotencyKey key) {
    return key.issuer().equals(self);
  }

  /**
   * Returns the age of a key.
   *
   * @param key a key issued by this process
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
