package org.wigeonwharf.relay.keys;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HexFormat;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.Problem;

/**
 * An IdempotencyKey names the one router process that may execute a request, and nothing else.
 *
 * @param issuer the process that issued the key
 * @param sequence the key's number among the issuer's keys
 * @param issuedMillis when it was issued, in milliseconds since the issuer started
 * @param mac proves that the issuer made the key, and for which client account
 */
public record IdempotencyKey(NodeId issuer, long sequence, long issuedMillis, ByteString mac) {
  /** Longest accepted text, in characters. */
  public static final int MAX_TEXT_CHARS = 512;

  private static final String SEPARATOR = ".";
  private static final int PART_COUNT = 5;
  private static final HexFormat HEX = HexFormat.of();

  /**
   * Reads a key from a header's value.
   *
   * @param text the value, with or without the quotes of a structured field
   * @return the key, or the problem to answer with if no router ever makes such a key
   */
  public static Either<Problem, IdempotencyKey> parse(String text) {
    String unquoted = unquote(text);
    String[] parts = unquoted.split("\\" + SEPARATOR, -1);
    if (unquoted.length() > MAX_TEXT_CHARS || parts.length != PART_COUNT) {
      return Either.left(malformed());
    }
    return Try.of(() -> fromParts(parts))
        .filter(k -> k.toText().equals(unquoted))
        .toEither()
        .mapLeft(e -> malformed());
  }

  private static String unquote(String text) {
    boolean quoted = text.length() > 1 && text.startsWith("\"") && text.endsWith("\"");
    return quoted ? text.substring(1, text.length() - 1) : text;
  }

  private static IdempotencyKey fromParts(String[] parts) {
    byte[] name = Base64.getUrlDecoder().decode(parts[0]);
    long incarnation = HexFormat.fromHexDigitsToLong(parts[1]);
    return new IdempotencyKey(
        new NodeId(new String(name, StandardCharsets.UTF_8), incarnation),
        HexFormat.fromHexDigitsToLong(parts[2]),
        HexFormat.fromHexDigitsToLong(parts[3]),
        ByteString.copyFrom(HEX.parseHex(parts[4])));
  }

  private static Problem malformed() {
    return Problem.badRequest(400, "key-malformed", "The idempotency key was not issued here.");
  }

  /**
   * Returns the header's value.
   *
   * @return ASCII letters, digits and punctuation
   */
  public String toText() {
    byte[] name = issuer.name().getBytes(StandardCharsets.UTF_8);
    return String.join(
        SEPARATOR,
        Base64.getUrlEncoder().withoutPadding().encodeToString(name),
        Long.toHexString(issuer.incarnation()),
        Long.toHexString(sequence),
        Long.toHexString(issuedMillis),
        HEX.formatHex(mac.toByteArray()));
  }

  /** Leaves the proof out, so that a logged key is of no use. */
  @Override
  public String toString() {
    return issuer + "/" + sequence;
  }
}
