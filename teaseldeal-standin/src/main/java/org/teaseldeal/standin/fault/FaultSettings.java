package org.teaseldeal.standin.fault;

/** The fault settings of one kind of stand-in. */
public interface FaultSettings {
  /** Returns the seed of the random source that decides which events a share of faults affects. */
  long seed();

  /** Returns how answers are framed, and which of them are broken off. */
  AnswerFaults answers();
}
