package org.teaseldeal.ledger;

import com.dynatrace.hash4j.hashing.Hashing;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.settings.SubtreeId;

/**
 * Distributes teams over the ledger's streams by hash.
 *
 * <p>All entries of a team are on one stream; the fleet's settings subtree is on the first stream.
 */
public record StreamPartitioning(int count) {
  /** Keeps all entries on one stream. */
  public static final StreamPartitioning SINGLE = new StreamPartitioning(1);

  public StreamPartitioning {
    Preconditions.requirePositive(count, "stream count");
  }

  /** Returns the stream of {@code team}. */
  public StreamId of(TeamId team) {
    long hash = Hashing.komihash5_0().hashCharsToLong(team.name());
    return new StreamId(Math.floorMod(hash, count));
  }

  /** Returns the stream of {@code subtree}. */
  public StreamId of(SubtreeId subtree) {
    return subtree.isFleet() ? StreamId.FLEET : of(subtree.team());
  }
}
