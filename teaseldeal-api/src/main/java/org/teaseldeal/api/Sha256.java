package org.teaseldeal.api;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests of bytes and of strings in UTF-8. */
public final class Sha256 {
  private Sha256() {}

  /** Returns a new digest, to be updated in parts. */
  public static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  /** Returns the digest of a string. */
  public static byte[] of(String text) {
    return newDigest().digest(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the digest of a string as 64 hexadecimal digits in lower case. */
  public static String hex(String text) {
    return HexFormat.of().formatHex(of(text));
  }

  /** Returns the digest of {@code bytes} as 64 hexadecimal digits in lower case. */
  public static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(newDigest().digest(bytes));
  }
}
