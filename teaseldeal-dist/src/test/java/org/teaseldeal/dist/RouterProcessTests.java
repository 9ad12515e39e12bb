package org.teaseldeal.dist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the router by its launcher and checks what an operator relies on: the printed addresses
 * and the exit statuses.
 */
@Timeout(60)
class RouterProcessTests {
  private static final String LAUNCHER = "teaseldeal-router";

  /**
   * Settings with the address of a platform that does not exist. The router starts nevertheless,
   * and its short limits let it stop soon.
   */
  private static final String SETTINGS =
      """
      instance = "r1"
      data_centre = "hal-nord"
      platform = "127.0.0.1:1"
      [callers]
      host = "127.0.0.1"
      port = 0
      [peers]
      host = "127.0.0.1"
      port = 0
      [admin]
      host = "127.0.0.1"
      port = 0
      [limits]
      leave = "100ms"
      drain = "500ms"
      """;

  @TempDir Path folder = Path.of("");

  @Test
  void printsItsAddressesAndExitsWithZeroOnSigterm() throws Exception {
    Path log = folder.resolve("log");
    try (LaunchedProcess router =
        LaunchedProcess.daemon(log, LAUNCHER, List.of("--settings", write(SETTINGS).toString()))) {
      JsonNode listening = router.listening();
      assertEquals("router", listening.path("role").asText());
      assertEquals("r1", listening.path("instance").asText());
      for (String address : List.of("address", "peer_address", "admin_address")) {
        assertTrue(listening.path(address).asText().matches("127\\.0\\.0\\.1:[1-9][0-9]*"));
      }
      assertEquals(0, router.terminate());
    }
    List<String> messages = new ArrayList<>();
    for (String line : Files.readAllLines(log)) {
      messages.add(new ObjectMapper().readTree(line).path("message").asText());
    }
    assertEquals("listening", messages.getFirst());
    assertTrue(messages.contains("draining"), messages::toString);
    assertTrue(messages.getLast().startsWith("stopped"), messages::toString);
  }

  @Test
  void exitsWithThreeOnAnInvalidFile() throws Exception {
    Process router =
        LaunchedProcess.start(LAUNCHER, "--settings", write("instance = 1").toString());
    assertTrue(router.waitFor(40, TimeUnit.SECONDS));
    assertEquals(3, router.exitValue());
  }

  private Path write(String toml) throws Exception {
    return Files.writeString(folder.resolve("r1.toml"), toml);
  }
}
