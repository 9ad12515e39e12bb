package org.teaseldeal.dist;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that the names of the platform's protocol occur in the platform module only. All other
 * modules use the product's own terms, so that they do not depend on the platform.
 */
class PlatformWordsTests {
  private static final Pattern WORDS =
      Pattern.compile(
          "(?i)log-append|log-read|log-newest|log-join|prefix-hash|token-count|reply-seal"
              + "|expect-instance|weight-versions|urgency-class|keyed\\.(op|servers|status)"
              + "|teaseldeal_settings|\"not-run\"\\s*,\\s*\"1\"");

  @Test
  void occurInThePlatformModuleOnly() throws IOException {
    Path root = Path.of("..").toRealPath();
    try (Stream<Path> files = Files.walk(root)) {
      List<String> found =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !file.startsWith(root.resolve("platform")))
              .filter(file -> !file.endsWith("PlatformWordsTests.java"))
              .filter(file -> !file.toString().contains("/target/"))
              .filter(PlatformWordsTests::containsPlatformWord)
              .map(file -> root.relativize(file).toString())
              .toList();
      assertEquals(List.of(), found);
    }
  }

  private static boolean containsPlatformWord(Path file) {
    try {
      return WORDS.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
