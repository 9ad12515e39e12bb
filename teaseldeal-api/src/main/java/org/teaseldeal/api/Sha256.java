package org.teaseldeal.api;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 of octets and of texts in UTF-8. */
public final class Sha256 {
  private Sha256() {}

  /** Starts a digest that is fed in parts. */
  public static MessageDigest begin() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  /** The digest of a text. */
  public static byte[] of(String text) {
    return begin().digest(text.getBytes(StandardCharsets.UTF_8));
  }

  /** The digest of a text as 64 hexadecimal digits in lower case. */
  public static String hex(String text) {
    return HexFormat.of().formatHex(of(text));
  }

  /** The digest of {@code octets} as 64 hexadecimal digits in lower case. */
  public static String hex(byte[] octets) {
    return HexFormat.of().formatHex(begin().digest(octets));
  }
}
