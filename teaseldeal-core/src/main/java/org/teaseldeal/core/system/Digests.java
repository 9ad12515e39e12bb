package org.teaseldeal.core.system;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.teaseldeal.api.Sha256;

/**
 * Computes SHA-256 digests in hexadecimal form, either of bytes or of several strings, each
 * preceded by its length.
 */
final class Digests {
  private Digests() {}

  static String of(String... parts) {
    MessageDigest digest = Sha256.newDigest();
    for (String part : parts) {
      byte[] utf8 = part.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(utf8.length).flip());
      digest.update(utf8);
    }
    return HexFormat.of().formatHex(digest.digest());
  }

  static String of(byte[] bytes) {
    return Sha256.hex(bytes);
  }
}
