package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests of the pauses that servers ask for. */
class RequestedPauseTests {
  private static final Instant START = Instant.EPOCH;
  private static final Instant END = START.plusSeconds(3);

  private final RequestedPause pause = new RequestedPause(END);

  @Test
  void hasRoomFromItsEndOn() {
    assertFalse(pause.hasRoom(END.minusNanos(1)));
    assertTrue(pause.isInForce(END.minusNanos(1)));
    assertTrue(pause.hasRoom(END));
    assertFalse(pause.isInForce(END));
  }

  /** Guards against a shorter pause that a late answer brings and that ends a longer one. */
  @Test
  void endsAtTheLatestOfAllEnds() {
    pause.extendTo(START.plusSeconds(1));
    assertEquals(END, pause.roomAt());
    pause.extendTo(END.plusSeconds(1));
    assertFalse(pause.hasRoom(END));
  }

  /** Guards against a crowd that meets a server in the moment in which its pause ends. */
  @Test
  void givesOneTrialAtATime() {
    pause.onSent(END);
    assertFalse(pause.hasRoom(END.plusMillis(1)));
    pause.onTrialEnded();
    assertTrue(pause.hasRoom(END.plusMillis(1)));
  }

  /** Guards against a server that is shunned because a trial is never answered. */
  @Test
  void givesAFurtherTrialAfterOneThatIsNotAnswered() {
    pause.onSent(END);
    assertTrue(pause.hasRoom(END.plus(Duration.ofMillis(500))));
  }

  /** Guards against a pause that an answer to an earlier request ends. */
  @Test
  void endsWithAnAnswerToALaterRequestOnly() {
    assertFalse(pause.endsWithAnswerTo(START));
    assertTrue(pause.endsWithAnswerTo(END));
  }
}
