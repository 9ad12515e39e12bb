package org.teaseldeal.gateway.peer;

/**
 * The load that other instances together have outstanding at a backend server.
 *
 * @param running the number of requests
 * @param promptTokensAhead the number of prompt tokens that the server presumably has yet to read
 */
public record PeerLoad(int running, long promptTokensAhead) {
  /** No load. Also stands for a load that is unknown. */
  public static final PeerLoad NONE = new PeerLoad(0, 0);

  PeerLoad plus(PeerLoad other) {
    return new PeerLoad(running + other.running, promptTokensAhead + other.promptTokensAhead);
  }
}
