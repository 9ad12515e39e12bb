package org.teaseldeal.gateway.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Pattern;
import org.teaseldeal.gateway.server.ServerIncarnation;

/** The names of prompt parts and crashes in notes, logs and messages. */
final class PartKeys {
  /** Ids that fit into the key of a note; callers may send others. */
  private static final Pattern USABLE = Pattern.compile("[0-9A-Za-z_-]{1,64}");

  private PartKeys() {}

  /** Returns the names of parts: their ids, or hashes of ids that can't be used as names. */
  static List<String> of(List<String> partIds) {
    return partIds.stream().map(PartKeys::of).toList();
  }

  private static String of(String partId) {
    return USABLE.matcher(partId).matches()
        ? partId
        : "~" + HexFormat.of().toHexDigits(Hashing.komihash5_0().hashCharsToLong(partId));
  }

  /** Returns the name of the crash that ended an incarnation of a server. */
  static String crashKey(ServerIncarnation server) {
    return server.name();
  }
}
