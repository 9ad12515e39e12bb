package org.teaseldeal.operator.losses;

import java.util.Locale;

/** Why a request wasn't answered in time, as far as the logs tell. */
public enum LossCause {
  WAITED_FOR_TOKENS("its tokens were not at hand at first"),
  REFUSED_TOTAL_USED_UP("the customer's total did not cover it"),
  REFUSED_TOKENS_ELSEWHERE("the tokens were idle at other instances"),
  REFUSED_TOKENS_HELD("the tokens were held by other requests"),
  HOLDER_UNREACHABLE("no holder of the customer's total could be asked"),
  WAITED_FOR_SERVER("no backend server could take it at first"),
  QUEUED_AT_SERVER("it waited at the backend server"),
  PROMPT_READ_AGAIN("the server read what another one had cached"),
  NO_SERVER("no backend server could take it"),
  SERVER_FAILED("a backend server failed, or broke off its answer"),
  CUT("its instance was cut off from servers or other instances"),
  STORE_AWAY("its instance had lost the store"),
  INSTANCE_STOPPING("its instance was stopping"),
  INSTANCE_ENDED("its instance ended without an answer, by a kill or a loss of power"),
  PLAN_NOT_THERE("its route or key was in no configuration yet, or no more"),
  LIMIT("a limit refused it"),
  CALLER_LEFT("its caller left"),
  LOOP_STALLED("its instance's event loop stood still"),
  NOT_SEEN("no instance's log has it"),
  UNKNOWN("the logs don't tell");

  private final String meaning;

  LossCause(String meaning) {
    this.meaning = meaning;
  }

  /** One clause for people. */
  public String meaning() {
    return meaning;
  }

  /** The name in tables: lower case with hyphens. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
