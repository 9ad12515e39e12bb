package org.teaseldeal.core.system;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import org.teaseldeal.api.Sha256;

/**
 * SHA-256 in hexadecimal digits: of octets as they are, or of several texts, each with its length
 * before it.
 */
final class Digests {
  private Digests() {}

  static String of(String... parts) {
    MessageDigest digest = Sha256.begin();
    for (String part : parts) {
      byte[] octets = part.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(octets.length).flip());
      digest.update(octets);
    }
    return HexFormat.of().formatHex(digest.digest());
  }

  static String of(byte[] bytes) {
    return Sha256.hex(bytes);
  }
}
