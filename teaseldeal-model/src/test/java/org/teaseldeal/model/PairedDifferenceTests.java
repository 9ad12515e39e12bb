package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class PairedDifferenceTests {
  @Test
  void computesMeanAndStandardError() {
    PairedDifference difference =
        PairedDifference.of(List.of(1.0, 2.0, 3.0), List.of(2.0, 4.0, 6.0));
    assertEquals(2, difference.meanBefore());
    assertEquals(2, difference.mean());
    assertEquals(Math.sqrt(1.0 / 3), difference.standardError(), 1e-12);
  }

  @Test
  void rejectsListsOfDifferentLength() {
    assertThrows(
        IllegalArgumentException.class, () -> PairedDifference.of(List.of(1.0), List.of()));
  }
}
