package org.teaseldeal.router.admin;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;
import org.teaseldeal.api.Sha256;
import org.teaseldeal.net.HttpExchange;

/**
 * Checks the bearer token that operators send.
 *
 * <p>If no credential is configured, every request is authorized.
 */
final class AdminCredential {
  private static final String BEARER = "bearer ";

  private final Optional<byte[]> expectedHash;

  /** Creates a check against the SHA-256 of the token, given in hexadecimal. */
  AdminCredential(Optional<String> sha256) {
    expectedHash = sha256.map(HexFormat.of()::parseHex);
  }

  boolean authorizes(HttpExchange exchange) {
    if (expectedHash.isEmpty()) {
      return true;
    }
    String header = exchange.header("Authorization").orElse("");
    if (!header.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
      return false;
    }
    // Comparing hashes in constant time keeps the response time from revealing how much of a
    // guessed token is right.
    return MessageDigest.isEqual(
        expectedHash.get(), Sha256.of(header.substring(BEARER.length()).trim()));
  }
}
