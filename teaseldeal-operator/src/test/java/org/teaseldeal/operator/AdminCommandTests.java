package org.teaseldeal.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.operator.fake.FakeInstance;

class AdminCommandTests {
  private final FakeInstance instance = new FakeInstance(0);
  private final Transcript transcript =
      new Transcript()
          .replace(instance.address(), "ADMIN")
          // Some builds of the JDK add the failed call to the text of a refused connection.
          .replace("Connection refused (connect failed)", "Connection refused");

  AdminCommandTests() throws IOException {}

  @AfterEach
  void close() {
    transcript.close();
    instance.close();
  }

  @Test
  void dumpsAndDrainsAnInstance() {
    transcript.setVariable("TEASELDEAL_ADMIN_TOKEN", FakeInstance.TOKEN);

    transcript.run("dump", instance.address());
    transcript.run("dump", instance.address(), "--json");
    transcript.run("drain", instance.address());
    transcript.run("drain", instance.address(), "--json");

    assertTrue(instance.draining());
    transcript.verify();
  }

  @Test
  void readsCredentialFromFile(@TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("token"), FakeInstance.TOKEN + "\n");

    ExitStatus status =
        transcript.run("drain", instance.address(), "--admin-token-file", file + "");

    assertEquals(ExitStatus.OK, status);
    assertFalse(transcript.text().contains(FakeInstance.TOKEN));
  }

  @Test
  void reportsWhyInstanceDidNotAnswer() {
    transcript.run("drain", instance.address());
    transcript.run("dump", "localhost:7001", "--json");
    instance.close();
    transcript.run("dump", instance.address());

    assertFalse(instance.draining());
    transcript.verify();
  }
}
