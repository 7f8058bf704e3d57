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
 * Names the only router process that may execute a request; it says nothing about the request.
 *
 * @param issuer the router process that issued the key
 * @param sequence the sequence number, unique among the issuer's keys
 * @param issuedMillis the time of issue, in milliseconds since the issuer started
 * @param mac the message authentication code; proves who issued the key, and for which client
 *     account
 */
public record IdempotencyKey(NodeId issuer, long sequence, long issuedMillis, ByteString mac) {
  /** Maximum length of the text form, without quotes. */
  public static final int MAX_TEXT_CHARS = 512;

  private static final String SEPARATOR = ".";
  private static final int PART_COUNT = 5;
  private static final HexFormat HEX = HexFormat.of();

  /**
   * Parses a key from a header value.
   *
   * @param text the value, with or without the quotes of a structured field
   * @return the key, or the problem to answer with if no router issues keys of this form
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
   * Returns the key's text form, as sent in the header.
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

  /** Omits the MAC, so that a logged key cannot be used. */
  @Override
  public String toString() {
    return issuer + "/" + sequence;
  }
}
