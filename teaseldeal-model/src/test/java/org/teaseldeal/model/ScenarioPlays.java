package org.teaseldeal.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** The plays of all scenarios of a folder at several sizes, each with several seeds. */
final class ScenarioPlays {
  private ScenarioPlays() {}

  /** Returns the file name, the number of instances and the seed of each play. */
  static Stream<Arguments> of(Path folder, List<Integer> sizes, int seeds) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.sorted().toList().stream()
          .map(file -> file.getFileName().toString())
          .flatMap(
              file ->
                  sizes.stream()
                      .flatMap(
                          size ->
                              IntStream.rangeClosed(1, seeds)
                                  .mapToObj(seed -> Arguments.of(file, size, seed))));
    }
  }
}
