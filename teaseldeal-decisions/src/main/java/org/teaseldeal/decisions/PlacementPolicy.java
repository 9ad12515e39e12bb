package org.teaseldeal.decisions;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Policies for choosing the backend server of a request. The first two are baselines for
 * comparison.
 */
public enum PlacementPolicy {
  /** Chooses the servers in turn, regardless of their load. */
  ROUND_ROBIN {
    @Override
    public Optional<ServerView> choose(
        List<ServerView> servers, long turn, RandomGenerator random) {
      return servers.isEmpty()
          ? Optional.empty()
          : Optional.of(servers.get((int) (turn % servers.size())));
    }
  },

  /** Chooses the open server with the least outstanding work. */
  LEAST_OUTSTANDING {
    @Override
    public Optional<ServerView> choose(
        List<ServerView> servers, long turn, RandomGenerator random) {
      return servers.stream().filter(ServerView::open).min(BY_LOAD);
    }
  },

  /**
   * Chooses the less loaded of two open servers drawn at random.
   *
   * <p>Several instances that see the same outdated load report would all send their requests to
   * the one server that it shows as idle. Drawing two servers at random spreads the requests, and
   * the comparison still avoids servers known to be busy.
   */
  TWO_CHOICES {
    @Override
    public Optional<ServerView> choose(
        List<ServerView> servers, long turn, RandomGenerator random) {
      List<ServerView> open = servers.stream().filter(ServerView::open).toList();
      if (open.isEmpty()) {
        return Optional.empty();
      }
      ServerView first = open.get(random.nextInt(open.size()));
      ServerView second = open.get(random.nextInt(open.size()));
      return Optional.of(BY_LOAD.compare(first, second) <= 0 ? first : second);
    }
  };

  private static final Comparator<ServerView> BY_LOAD =
      Comparator.comparingDouble(ServerView::load);

  /**
   * Chooses a server; empty if no server may be given the request now.
   *
   * @param turn counter of choices, for policies that choose in turn
   */
  public abstract Optional<ServerView> choose(
      List<ServerView> servers, long turn, RandomGenerator random);
}
