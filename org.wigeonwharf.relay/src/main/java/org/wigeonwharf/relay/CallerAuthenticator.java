package org.wigeonwharf.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.config.PublishedConfig;

/** Authenticates callers: finds the client account of a bearer token by the token's hash. */
public final class CallerAuthenticator {
  private static final String SCHEME = "Bearer ";

  private final Map<String, AccountSpec> accountsByTokenHash = new HashMap<>();

  /**
   * Creates an authenticator for the accounts of a configuration.
   *
   * @param config the current configuration
   */
  public CallerAuthenticator(PublishedConfig config) {
    for (AccountSpec a : config.accounts().values()) {
      a.tokenHashes().forEach(h -> accountsByTokenHash.put(h, a));
    }
  }

  /**
   * Finds the account of an Authorization header.
   *
   * @param authorization the header's value, or null if absent
   * @return the account, or empty if the token is missing or unknown
   */
  public Optional<AccountSpec> authenticate(@Nullable String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    String token = authorization.substring(SCHEME.length()).trim();
    return Optional.ofNullable(accountsByTokenHash.get(hash(token)));
  }

  /**
   * Hashes a token in the form that the published configuration contains.
   *
   * @param token the bearer token
   * @return lower-case hex SHA-256 of its UTF-8 bytes
   */
  public static String hash(String token) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the JDK lacks SHA-256", e);
    }
  }
}
