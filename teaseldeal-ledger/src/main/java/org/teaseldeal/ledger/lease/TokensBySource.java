package org.teaseldeal.ledger.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.Draw;

/** A set of tokens grouped by source. Tokens are taken in the order of the sources. */
final class TokensBySource {
  private final TreeMap<IncarnationId, Long> tokensBySource = new TreeMap<>();
  private long total;

  long total() {
    return total;
  }

  void addAll(List<Draw> draws) {
    for (Draw draw : draws) {
      tokensBySource.merge(draw.source(), draw.tokens(), Math::addExact);
      total = Math.addExact(total, draw.tokens());
    }
  }

  /** Removes and returns {@code max} tokens, or all tokens if there are fewer. */
  List<Draw> take(long max) {
    List<Draw> taken = new ArrayList<>();
    long missing = max;
    while (missing > 0 && !tokensBySource.isEmpty()) {
      Map.Entry<IncarnationId, Long> first = tokensBySource.firstEntry();
      long tokens = Math.min(missing, first.getValue());
      taken.add(new Draw(first.getKey(), tokens));
      subtract(first.getKey(), first.getValue(), tokens);
      missing -= tokens;
    }
    return taken;
  }

  private void subtract(IncarnationId source, long held, long tokens) {
    if (tokens == held) {
      tokensBySource.remove(source);
    } else {
      tokensBySource.put(source, held - tokens);
    }
    total -= tokens;
  }

  List<Draw> toDraws() {
    return tokensBySource.entrySet().stream()
        .map(entry -> new Draw(entry.getKey(), entry.getValue()))
        .toList();
  }
}
