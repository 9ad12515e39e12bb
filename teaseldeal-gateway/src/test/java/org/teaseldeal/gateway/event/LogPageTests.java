package org.teaseldeal.gateway.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class LogPageTests {
  private static final Path PAGE = Path.of("..", "docs", "LOGS.md");

  @Test
  void containsARowForEveryEventAndNoOther() throws IOException {
    Set<String> events =
        Stream.of(GatewayEvent.class.getPermittedSubclasses())
            .map(Class::getSimpleName)
            .collect(Collectors.toCollection(TreeSet::new));
    Set<String> listed =
        rows()
            .map(row -> row.substring(3, row.indexOf('`', 3)))
            .collect(Collectors.toCollection(TreeSet::new));
    assertEquals(events, listed);
  }

  @Test
  void containsEveryFieldInTheRowOfItsEvent() throws IOException {
    List<String> rows = rows().toList();
    for (Class<?> event : GatewayEvent.class.getPermittedSubclasses()) {
      String row =
          rows.stream()
              .filter(each -> each.startsWith("| `" + event.getSimpleName() + "`"))
              .findFirst()
              .orElse("");
      for (RecordComponent field : event.getRecordComponents()) {
        String name = field.getType() == Duration.class ? field.getName() + "_ms" : field.getName();
        assertTrue(
            row.contains("`" + name + "`"),
            "the row of %s was '%s', expected field %s".formatted(event, row, name));
      }
    }
  }

  private static Stream<String> rows() throws IOException {
    return Files.readAllLines(PAGE).stream().filter(line -> line.startsWith("| `"));
  }
}
