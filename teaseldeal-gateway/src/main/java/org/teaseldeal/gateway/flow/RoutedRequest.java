package org.teaseldeal.gateway.flow;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One attempt of a caller.
 *
 * @param id the caller's name for the attempt, passed on unchanged
 * @param target path and query as sent
 * @param headers to pass on, in order
 * @param patience how long the caller waits, if it said so
 * @param key what the caller shows to say whose request it is
 * @param prompt what the caller says of its prompt, if it has one
 */
public record RoutedRequest(
    String id,
    String method,
    String host,
    String target,
    List<Map.Entry<String, String>> headers,
    byte[] body,
    Optional<Duration> patience,
    Optional<String> key,
    Optional<PromptTerms> prompt) {
  public RoutedRequest {
    headers = List.copyOf(headers);
  }

  /** The same for each try of the same caller with the same method, path and body. */
  public String fingerprint() {
    HashStream64 hash = Hashing.komihash5_0().hashStream();
    hash.putString(method).putString(host).putString(target).putString(key.orElse(""));
    hash.putByteArray(body);
    return HexFormat.of().toHexDigits(hash.getAsLong());
  }
}
