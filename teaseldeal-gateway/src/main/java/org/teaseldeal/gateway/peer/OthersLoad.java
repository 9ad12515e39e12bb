package org.teaseldeal.gateway.peer;

/**
 * The load that other instances together have outstanding at a backend server.
 *
 * @param running the number of requests
 * @param promptTokensAhead the number of prompt tokens that the server presumably has yet to read
 */
public record OthersLoad(int running, long promptTokensAhead) {
  /** No load. Also stands for a load that is unknown. */
  public static final OthersLoad NONE = new OthersLoad(0, 0);

  OthersLoad plus(OthersLoad other) {
    return new OthersLoad(running + other.running, promptTokensAhead + other.promptTokensAhead);
  }
}
