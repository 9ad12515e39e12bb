package org.teaseldeal.router.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.core.ListedServer;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.net.HttpAnswer;

class PlatformAnswerTests {
  private static final StreamId STREAM = new StreamId(0);

  @Nested
  class LogAnswers {
    private final LogCommand.Append append = new LogCommand.Append(STREAM, 3, new byte[0]);
    private final LogCommand.Read read = new LogCommand.Read(STREAM, 5);

    @Test
    void carryTheAppendedOffset() {
      assertEquals(
          new LogEvent.AppendAcknowledged(STREAM, 3, 8),
          LogClient.appendEvent(append, answer(200, "{\"offset\":8}"), null));
    }

    @Test
    void withErrorsBecomeFailureEvents() {
      for (HttpAnswer answer : List.of(answer(429, ""), answer(503, ""), answer(200, "{}"))) {
        assertInstanceOf(LogEvent.AppendFailed.class, LogClient.appendEvent(append, answer, null));
        assertInstanceOf(LogEvent.ReadFailed.class, LogClient.readEvent(read, answer, null));
      }
    }

    @Test
    void carryRecords() {
      LogEvent event =
          LogClient.readEvent(
              read,
              answer(
                  200,
                  """
                  {"earliest":1,"next":6,"records":[{"offset":5,\
                  "appended_at":"2026-01-01T00:00:00Z","payload":"aGk="}]}"""),
              null);
      var records = assertInstanceOf(LogEvent.RecordsRead.class, event);
      assertEquals(6, records.nextOffset());
      assertEquals(5, records.records().getFirst().offset());
      assertEquals(
          "hi", new String(records.records().getFirst().payload(), StandardCharsets.UTF_8));
    }

    @Test
    void reportAnExpiredOffset() {
      assertEquals(
          new LogEvent.OffsetExpired(STREAM, 5, 9, 12),
          LogClient.readEvent(read, answer(410, "{\"earliest\":9,\"next\":12}"), null));
    }
  }

  @Nested
  class InstanceListAnswers {
    @Test
    void omitOnlyUnreadableEntries() {
      // Guards against one invalid entry that makes all other instances unavailable.
      InstanceList list =
          read(
              """
              {"instances":[
              {"id":"e1","incarnation":"e1.a","role":"engine","pool":"p","address":"127.0.0.1:9",\
              "data_centre":"dc","state":"leaving"},
              {"id":"e2","incarnation":"e2.a","role":"engine","pool":"p","address":"nowhere",\
              "data_centre":"dc","state":"live"},
              {"id":"x","role":"printer"},
              7,
              {"id":"r2","incarnation":"r2.a","role":"router","address":"127.0.0.1:7",\
              "peer_address":"127.0.0.1:8","data_centre":"dc","state":"live"}]}""");
      assertEquals(3, list.unreadableEntries());
      ListedServer engine = list.engines().getFirst();
      assertEquals("e1.a", engine.id().name());
      assertEquals(true, engine.leaving());
      assertEquals("127.0.0.1:8", list.routers().getFirst().peerAddress());
      assertEquals(List.of(engine), list.servers());
    }

    @Test
    void areRefusedWithoutInstances() {
      assertThrows(IllegalArgumentException.class, () -> read("{}"));
    }

    private static InstanceList read(String json) {
      return InstanceList.read(json.getBytes(StandardCharsets.UTF_8));
    }
  }

  private static HttpAnswer answer(int status, String body) {
    return new HttpAnswer(status, Map.of(), body.getBytes(StandardCharsets.UTF_8));
  }
}
