package org.teaseldeal.router.admin;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;
import org.teaseldeal.api.Sha256;
import org.teaseldeal.net.HttpExchange;

/** Checks the token that operators send; without a credential everyone who reaches us may pass. */
final class AdminCredential {
  private static final String BEARER = "bearer ";

  private final Optional<byte[]> expected;

  /** Creates a check against a SHA-256 in hexadecimal. */
  AdminCredential(Optional<String> sha256) {
    expected = sha256.map(HexFormat.of()::parseHex);
  }

  boolean admits(HttpExchange exchange) {
    if (expected.isEmpty()) {
      return true;
    }
    String header = exchange.header("Authorization").orElse("");
    if (!header.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
      return false;
    }
    // Compared in constant time, and by hash, so that neither reveals how much of a guess is right.
    return MessageDigest.isEqual(
        expected.get(), Sha256.of(header.substring(BEARER.length()).trim()));
  }
}
