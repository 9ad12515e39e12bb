package org.teaseldeal.operator.losses;

import java.util.Locale;

/** Why a request wasn't answered in time, as far as the logs show it. */
public enum LossCause {
  WAITED_FOR_TOKENS("its instance did not hold enough tokens at first"),
  REFUSED_TOTAL_USED_UP("the customer's total did not cover the request"),
  REFUSED_TOKENS_ELSEWHERE("the tokens were idle at other instances"),
  REFUSED_TOKENS_HELD("the tokens were held by other requests"),
  HOLDER_UNREACHABLE("no holder of the customer's total could be asked"),
  WAITED_FOR_SERVER("no backend server could accept it at first"),
  QUEUED_AT_SERVER("it was queued at the backend server"),
  PROMPT_READ_AGAIN("the server had to process a prompt that another server had cached"),
  NO_SERVER("no backend server could accept it"),
  SERVER_FAILED("a backend server failed, or broke off its answer"),
  CUT("its instance was cut off from backend servers or other instances"),
  STORE_AWAY("its instance could not reach the store"),
  INSTANCE_STOPPING("its instance was stopping"),
  INSTANCE_ENDED("its instance ended without an answer, by a kill or a loss of power"),
  PLAN_NOT_THERE("its route or key was not yet, or no longer, in the configuration"),
  LIMIT("a limit was exceeded"),
  CALLER_LEFT("its caller closed the connection"),
  LOOP_STALLED("its instance's event loop stalled"),
  NOT_SEEN("it appears in no instance's log"),
  UNKNOWN("the logs don't show the cause");

  private final String meaning;

  LossCause(String meaning) {
    this.meaning = meaning;
  }

  /** Returns a description of the cause, as a clause for people. */
  public String meaning() {
    return meaning;
  }

  /** Returns the name of the cause in reports: lower case with hyphens. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
