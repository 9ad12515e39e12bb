package org.teaseldeal.gateway.peer;

/** What other instances together have outstanding at a backend server. */
public record OthersLoad(int running, long promptTokensAhead) {
  /** Nothing, as far as is known. */
  public static final OthersLoad NONE = new OthersLoad(0, 0);

  OthersLoad plus(OthersLoad other) {
    return new OthersLoad(running + other.running, promptTokensAhead + other.promptTokensAhead);
  }
}
