package org.teaseldeal.gateway.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.handover.HandoverMessage.Result;

class HandoverMessageTests {
  private static final HandoverMessage MESSAGE =
      new HandoverMessage(
          "instance-1",
          7,
          3,
          2,
          Duration.ofMillis(120),
          Duration.ofMillis(90),
          "POST",
          "/bid/1?x=2",
          List.of(Map.entry("Host", "desk.example"), Map.entry("x", "\u00e9"), Map.entry("x", "2")),
          new byte[] {0, 1, -1});

  @Test
  void keepsARequestUnchanged() {
    HandoverMessage decoded = HandoverMessage.decode(MESSAGE.encode());
    assertEquals(MESSAGE.headers(), decoded.headers());
    assertEquals(MESSAGE.target(), decoded.target());
    assertEquals(MESSAGE.waited(), decoded.waited());
    assertEquals(MESSAGE.maxAttempts(), decoded.maxAttempts());
    assertArrayEquals(MESSAGE.body(), decoded.body());
  }

  /** Guards against half a request that is run as a whole one. */
  @Test
  void rejectsARequestThatIsCutAnywhere() {
    byte[] whole = MESSAGE.encode();
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThrows(IllegalArgumentException.class, () -> HandoverMessage.decode(cut));
    }
  }

  @Test
  void rejectsOtherLayoutsAndBytesBehindTheRequest() {
    byte[] later = MESSAGE.encode();
    later[0] = 2;
    assertThrows(IllegalArgumentException.class, () -> HandoverMessage.decode(later));
    byte[] longer = Arrays.copyOf(MESSAGE.encode(), MESSAGE.encode().length + 1);
    assertThrows(IllegalArgumentException.class, () -> HandoverMessage.decode(longer));
  }

  /** An instance of an earlier release answers without a result, before it looks at a request. */
  @Test
  void takesAnAnswerWithoutAResultAsNotTaken() {
    assertEquals(Result.NOT_TAKEN, HandoverMessage.result(404, Map.of()));
  }
}
