package org.teaseldeal.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTests {
  private static final String FIRST_LOG =
      """
      {"time":"2026-03-01T10:00:00Z","instance":"a","event":"PlanInForce","version":7,"routes":5,"source":"t@1"}
      a warning in plain text
      {"time":"2026-03-01T10:00:01Z","instance":"a","event":"Dependency","name":"store","reachable":false,"detail":"status 503"}
      {"time":"2026-03-01T10:00:02Z","instance":"a","event":"AccountLevel","customer":"trawler","total":900,"taken":400,"lostByAll":0,"spentHere":10,"lostHere":0,"heldHere":40,"idleHere":20,"ratePerSecond":3}
      {"time":"2026-03-01T10:00:03Z","instance":"a","event":"WaitsForTokens","request":"r1","customer":"trawler","tokens":60,"idleHere":20,"logReachable":false}
      {"time":"2026-03-01T10:00:05Z","instance":"a","event":"RequestEnded","request":"r1","route":"draft","customer":"trawler","outcome":"no-lease","status":503,"detail":"60 tokens of trawler are not at hand, 20 are","attempts":0,"plan":7,"waited_ms":0.0,"took_ms":2000.0}
      {"time":"2026-03-01T10:00:06Z","instance":"a","event":"Dependency","name":"store","reachable":true,"detail":""}
      {"time":"2026-03-01T10:00:06.5Z","instance":"a","event":"AccountLevel","customer":"smack","total":900,"taken":880,"lostByAll":0,"spentHere":10,"lostHere":0,"heldHere":40,"idleHere":20,"ratePerSecond":3}
      {"time":"2026-03-01T10:00:07Z","instance":"a","event":"RequestEnded","request":"r3","route":"draft","customer":"trawler","outcome":"budget-exhausted","status":402,"detail":"60 tokens are needed, less remain of 900","attempts":0,"plan":7,"waited_ms":0.0,"took_ms":1.0}
      {"time":"2026-03-01T10:00:08Z","instance":"a","event":"InstanceState","state":"starting","detail":"hall-a"}
      {"time":"2026-03-01T10:00:08.5Z","instance":"a","event":"AccountLevel","customer":"smack","total":900,"taken":890,"lostByAll":300,"spentHere":10,"lostHere":50,"heldHere":0,"idleHere":0,"ratePerSecond":3}
      {"time":"2026-03-01T10:00:09Z","instance":"a","event":"RequestEnded","request":"r4","route":"draft","customer":"smack","outcome":"no-lease","status":503,"detail":"60 tokens of smack are not at hand, 0 are","attempts":0,"plan":7,"waited_ms":0.0,"took_ms":1.0}
      """;

  private static final String SECOND_LOG =
      """
      12.5 front-b {"time":"2026-03-01T10:00:02Z","instance":"b","event":"ServerListed","server":"engine-1","service":"models","address":"10.0.0.9:80","state":"ready"}
      12.6 front-b {"time":"2026-03-01T10:00:04Z","instance":"b","event":"Placed","request":"r2","service":"models","server":"engine-1","attempt":1,"running":3,"candidates":12,"resumeAfter":""}
      12.7 front-b {"time":"2026-03-01T10:00:05Z","instance":"b","event":"AttemptFailed","request":"r2","server":"engine-1","attempt":1,"failure":"MAY_HAVE_RUN","detail":"NO_ANSWER: closed","after_ms":812.5}
      12.7 front-b {"time":"2026-03-01T10:00:05.1Z","instance":"b","event":"RequestEnded","request":"r2","route":"draft","customer":"trawler","outcome":"backend-failed","status":502,"detail":"NO_ANSWER: closed","attempts":1,"plan":7,"waited_ms":0.0,"took_ms":815.0}
      12.8 front-b {"time":"2026-03-01T10:00:05.2Z","instance":"b","event":"RequestEn
      """;

  private final Transcript transcript = new Transcript();

  @TempDir private Path directory;

  @BeforeEach
  void write() throws IOException {
    Files.writeString(directory.resolve("a.log"), FIRST_LOG);
    Files.writeString(directory.resolve("b.log"), SECOND_LOG);
    transcript.replace(directory.toString(), "LOGS");
  }

  @AfterEach
  void close() {
    transcript.close();
  }

  @Test
  void explainsRequestsFromLogsOfSeveralInstances() {
    for (String request : new String[] {"r1", "r2", "r3", "r4"}) {
      transcript.run("explain", request, file("a.log"), file("b.log"));
    }
    transcript.run("explain", "r2", file("b.log"), "--json");

    transcript.verify();
  }

  /** The versions at which a stream began and went on, at two instances, stand side by side. */
  @Test
  void showsWhereAStreamThatIsTakenUpBegan() throws IOException {
    Files.writeString(
        directory.resolve("c.log"),
        """
        {"time":"2026-03-01T11:00:00Z","instance":"a","event":"Placed","request":"r5","service":"models","server":"engine-1","version":"v1","attempt":1,"resumeAfter":"","resumes":""}
        {"time":"2026-03-01T11:00:02Z","instance":"b","event":"StreamTakenUp","request":"r6","resumes":"r5","resumeAfter":"7","version":"v1","source":"PEER","took_ms":2.5}
        {"time":"2026-03-01T11:00:02.1Z","instance":"b","event":"StreamNotResumed","request":"r6","service":"models","resumes":"r5","version":"v1","reason":"no_server_of_version"}
        {"time":"2026-03-01T11:00:02.1Z","instance":"b","event":"RequestEnded","request":"r6","route":"query","customer":"trawler","outcome":"stream-not-resumable","status":503,"detail":"no server of software version v1","attempts":0,"plan":7,"waited_ms":0.0,"took_ms":3.0}
        """);
    transcript.run("explain", "r6", file("c.log"));

    transcript.verify();
  }

  @Test
  void reportsMissingRequestsAndUnreadableFiles() {
    transcript.run("explain", "r2", file("a.log"));
    transcript.run("explain", "r2", file("b.log"), file("missing.log"));
    transcript.run("explain", "r2");

    transcript.verify();
  }

  private String file(String name) {
    return directory.resolve(name).toString();
  }
}
