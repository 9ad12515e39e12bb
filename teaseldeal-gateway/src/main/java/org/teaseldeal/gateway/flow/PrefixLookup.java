package org.teaseldeal.gateway.flow;

import java.util.List;
import java.util.Optional;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;

/**
 * Determines how much of one prompt each backend server has to read. What depends on the prompt
 * alone is computed once, as a fleet has many servers.
 */
final class PrefixLookup {
  private final CachedPrompts cachedPrompts;
  private final long inputTokens;
  private final long unsharedTokens;
  private final long[] partHashes;
  private final long[] partTokens;

  PrefixLookup(CachedPrompts cachedPrompts, Optional<PromptDescription> prompt) {
    this.cachedPrompts = cachedPrompts;
    this.inputTokens = prompt.map(PromptDescription::inputTokens).orElse(0L);
    this.unsharedTokens = prompt.map(PromptDescription::unsharedTokens).orElse(0L);
    List<PromptPart> parts = prompt.map(PromptDescription::sharedParts).orElse(List.of());
    this.partHashes = new long[parts.size()];
    this.partTokens = new long[parts.size()];
    for (int i = 0; i < partHashes.length; i++) {
      partHashes[i] = CachedPrompts.hash(parts.get(i).id());
      partTokens[i] = parts.get(i).tokens();
    }
  }

  /**
   * The number of prompt tokens that a server has to read: all tokens after the longest prefix that
   * is in its cache; 0 without a prompt.
   */
  long uncachedTokens(BackendServer server) {
    long tokens = inputTokens;
    for (int i = 0; i < partHashes.length; i++) {
      if (!cachedPrompts.contains(server.incarnation(), partHashes[i])) {
        return tokens;
      }
      tokens = Math.max(unsharedTokens, tokens - partTokens[i]);
    }
    return tokens;
  }

  /** Whether a server that has to read so many tokens has the whole shared prefix in its cache. */
  boolean isWholePrefixCached(long uncachedTokens) {
    return partHashes.length > 0 && uncachedTokens == unsharedTokens;
  }
}
