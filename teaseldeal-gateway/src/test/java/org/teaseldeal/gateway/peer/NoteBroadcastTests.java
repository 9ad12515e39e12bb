package org.teaseldeal.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.gateway.log.NoteMessage;
import org.teaseldeal.gateway.log.SharedNote;

class NoteBroadcastTests {
  private final List<byte[]> sent = new ArrayList<>();
  private final NoteBroadcast broadcast =
      new NoteBroadcast(() -> List.of("10.0.0.1:80"), (address, message) -> sent.add(message));

  /** Guards against a note that is too long and keeps those behind it from being sent. */
  @ParameterizedTest
  @ValueSource(ints = {65_000, 65_535, 65_536, 100_000})
  void sendsOtherNotesThanOneThatIsTooLong(int length) {
    broadcast.accept(versions("x".repeat(length), "2.0"));
    broadcast.accept(versions("models", "x".repeat(length)));
    SharedNote other = versions("models", "2.0");
    broadcast.accept(other);
    assertEquals(other, NoteMessage.decode(sent.getLast()));
    sent.forEach(message -> assertTrue(message.length <= 65_507, "a datagram is too long"));
  }

  /** A service whose name doesn't fit into a record's key is told to others like any other. */
  @Test
  void sendsNotesAboutLongNames() {
    SharedNote note = versions("x".repeat(300), "2.0");
    broadcast.accept(note);
    assertEquals(note, NoteMessage.decode(sent.getLast()));
  }

  private static SharedNote versions(String service, String version) {
    return new SharedNote.ServiceVersions(
        "instance-1", service, 5, List.of(new SharedNote.VersionSeen(version, 7)));
  }
}
