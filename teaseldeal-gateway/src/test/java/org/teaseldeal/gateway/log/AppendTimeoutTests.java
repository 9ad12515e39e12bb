package org.teaseldeal.gateway.log;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

class AppendTimeoutTests {
  private static final Duration ANSWER = Duration.ofMillis(5);

  /** Maximum age of a note that lets a successor prove that no tokens were used. */
  private static final Duration MAX_NOTE_AGE = Duration.ofMillis(500);

  /**
   * Guards against outdated notes while the log works but every third answer is lost. An instance
   * that waits long for an answer that never arrives has old notes, and its idle tokens are written
   * off if its machine loses power then.
   */
  @Test
  void confirmsNineInTenWritesSoonWhileEveryThirdAnswerIsLost() {
    Random answers = new Random(11);
    AppendTimeout timeout = new AppendTimeout();
    int fresh = 0;
    int writes = 1_000;
    for (int write = 0; write < writes; write++) {
      if (untilAnswered(timeout, answers).compareTo(MAX_NOTE_AGE) <= 0) {
        fresh++;
      }
    }
    assertTrue(
        fresh * 10 >= 9 * writes,
        "%d of %d writes were answered in time, expected at least nine in ten"
            .formatted(fresh, writes));
  }

  private static Duration untilAnswered(AppendTimeout timeout, Random answers) {
    Duration passed = Duration.ZERO;
    while (answers.nextInt(3) == 0) {
      passed = passed.plus(timeout.current());
      timeout.onUnanswered();
    }
    timeout.onAnswered(ANSWER);
    return passed.plus(ANSWER);
  }
}
