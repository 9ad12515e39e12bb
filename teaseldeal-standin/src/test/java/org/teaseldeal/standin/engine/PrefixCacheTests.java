package org.teaseldeal.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against a cache that finds blocks of another prefix, or evicts a prefix before its blocks.
 */
class PrefixCacheTests {
  private final List<String> events = new ArrayList<>();
  private final PrefixCache cache =
      new PrefixCache(
          3,
          2,
          new PrefixCache.Listener() {
            @Override
            public void onStored(long block) {
              events.add("stored");
            }

            @Override
            public void onRemoved(long block) {
              events.add("removed");
            }
          });

  @Property(seed = "4711")
  void textNeverHasMoreTokensThanBytes(@ForAll String text) {
    assertTrue(Tokenizer.tokens(text).size() <= text.getBytes(StandardCharsets.UTF_8).length);
  }

  @Test
  void wordsAndPunctuationMarksAreTokens() {
    assertEquals(
        List.of("Lot", "12", ",", "grå", "-", "uld", "!"), Tokenizer.tokens("Lot 12, grå-uld!"));
  }

  @Test
  void completeBlocksOfACommonPrefixAreFound() {
    assertEquals(0, cache.matchAndStore(List.of("a", "b", "c", "d", "e")));
    assertEquals(4, cache.matchAndStore(List.of("a", "b", "c", "d", "x")));
    assertEquals(2, cache.matchAndStore(List.of("a", "b", "x", "y")));
  }

  @Test
  void sameBlockAfterAnotherPrefixIsNotFound() {
    cache.matchAndStore(List.of("a", "b", "c", "d"));
    assertEquals(0, cache.matchAndStore(List.of("x", "y", "c", "d")));
  }

  @Test
  void leastRecentlyUsedBlockIsEvictedAndAPrefixOnlyAfterItsContinuation() {
    cache.matchAndStore(List.of("a", "b", "c", "d"));
    cache.matchAndStore(List.of("e", "f"));
    cache.matchAndStore(List.of("g", "h"));
    assertEquals(List.of("stored", "stored", "stored", "stored", "removed"), events);
    assertEquals(3, cache.blockCount());
    assertEquals(2, cache.matchAndStore(List.of("a", "b", "c", "d")));
  }
}
