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
  private static final byte[] PURPOSE =
      "wigeonwharf idempotency key".getBytes(StandardCharsets.UTF_8);
  private static final int MAC_BYTES = 16;

  private final NodeId self;
  private final FleetSecret secret;
  private final Clock clock;
  private final long startNanos;
  private final AtomicLong sequence = new AtomicLong();

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
    long number = sequence.incrementAndGet();
    long now = millisSinceStart();
    return new IdempotencyKey(self, number, now, mac(self, number, now, account));
  }

  /**
   * Tells whether a process of the fleet issued a key for an account.
   *
   * @param key the key
   * @param account the client account that uses it
   * @return false if the key is forged or another account's
   */
  public boolean isAuthentic(IdempotencyKey key, AccountId account) {
    ByteString expected = mac(key.issuer(), key.sequence(), key.issuedMillis(), account);
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

  private ByteString mac(NodeId issuer, long number, long issuedMillis, AccountId account) {
    byte[] name = issuer.name().getBytes(StandardCharsets.UTF_8);
    ByteBuffer numbers =
        ByteBuffer.allocate(Long.BYTES * 3 + Integer.BYTES)
            .putLong(issuer.incarnation())
            .putLong(number)
            .putLong(issuedMillis)
            .putInt(name.length);
    byte[] owner = account.value().getBytes(StandardCharsets.UTF_8);
    return ByteString.copyFrom(secret.sign(PURPOSE, numbers.array(), name, owner), 0, MAC_BYTES);
  }
}
