package org.teaseldeal.standin.fault;

import java.util.Locale;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import org.teaseldeal.net.AnswerFraming;

/** The framing of a stand-in's answers. */
public enum FramingChoice {
  /** A length for whole answers, chunks for streams, and connections that are kept. */
  STANDARD {
    @Override
    Optional<AnswerFraming> choose(IntUnaryOperator draw) {
      return Optional.empty();
    }
  },
  LENGTH(AnswerFraming.LENGTH),
  CHUNKS(AnswerFraming.CHUNKS),
  CONNECTION_END(AnswerFraming.CONNECTION_END),
  HTTP_1_0(AnswerFraming.HTTP_1_0),
  /** Any of the framings, drawn for each answer. */
  ANY {
    @Override
    Optional<AnswerFraming> choose(IntUnaryOperator draw) {
      AnswerFraming[] all = AnswerFraming.values();
      return Optional.of(all[draw.applyAsInt(all.length)]);
    }
  };

  private final Optional<AnswerFraming> framing;

  FramingChoice() {
    framing = Optional.empty();
  }

  FramingChoice(AnswerFraming framing) {
    this.framing = Optional.of(framing);
  }

  /**
   * Returns the framing of an answer; empty for the standard one.
   *
   * @param draw returns a random number from 0 to below its argument
   */
  Optional<AnswerFraming> choose(IntUnaryOperator draw) {
    return framing;
  }

  /** Returns the name that settings and JSON use. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
