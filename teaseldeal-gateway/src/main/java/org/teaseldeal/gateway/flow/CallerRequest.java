package org.teaseldeal.gateway.flow;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request as a caller sent it.
 *
 * @param id the caller's identifier of this attempt, which is passed on unchanged
 * @param target the path and query as sent
 * @param headers the headers to pass on, in order
 * @param callerTimeout how long the caller waits for an answer, if it said so
 * @param key the API key that identifies the customer, if there is one
 * @param prompt the caller's description of its prompt, if the request has one
 * @param resumption the stream that the caller takes up again, if it does
 */
public record CallerRequest(
    String id,
    String method,
    String host,
    String target,
    List<Map.Entry<String, String>> headers,
    byte[] body,
    Optional<Duration> callerTimeout,
    Optional<String> key,
    Optional<PromptDescription> prompt,
    Optional<Resumption> resumption) {
  public CallerRequest {
    headers = List.copyOf(headers);
  }

  /** Returns this request as one that takes up its own stream after an event. */
  CallerRequest resumedAfter(String lastEventId) {
    return new CallerRequest(
        id,
        method,
        host,
        target,
        headers,
        body,
        callerTimeout,
        key,
        prompt,
        Optional.of(new Resumption(Optional.of(lastEventId), Optional.of(id))));
  }

  /** The ids of the parts that the prompt shares with others; empty without a prompt. */
  public List<String> sharedPartIds() {
    return prompt.map(PromptDescription::sharedPartIds).orElse(List.of());
  }

  /** A hash that is equal for all attempts with the same host, key, method, target and body. */
  public String fingerprint() {
    HashStream64 hash = Hashing.komihash5_0().hashStream();
    hash.putString(method).putString(host).putString(target).putString(key.orElse(""));
    hash.putByteArray(body);
    return HexFormat.of().toHexDigits(hash.getAsLong());
  }
}
