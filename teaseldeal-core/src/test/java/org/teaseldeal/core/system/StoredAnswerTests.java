package org.teaseldeal.core.system;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StoredAnswerTests {
  /** Guards against decoding the bytes of another kind of answer as frames. */
  @Test
  void bytesThatAreNotFramesAreNotDecoded() {
    assertEquals(Optional.empty(), StoredAnswer.decode(new byte[0]));
    assertEquals(
        Optional.empty(), StoredAnswer.decode("a plain answer of a service".getBytes(UTF_8)));
    byte[] negative = new byte[30];
    Arrays.fill(negative, (byte) 0xff);
    assertEquals(Optional.empty(), StoredAnswer.decode(negative));
  }
}
