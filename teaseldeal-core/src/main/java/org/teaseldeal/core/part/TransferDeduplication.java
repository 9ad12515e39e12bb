package org.teaseldeal.core.part;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.core.table.TransferRow;

/** Decides whether the tokens of a transfer reply are credited. */
@FunctionalInterface
public interface TransferDeduplication {
  /**
   * Credits each transfer number once: the first reply removes the transfer's row. The peer that
   * gave the tokens repeats its reply until it is acknowledged, and tokens that were credited twice
   * would be spent twice.
   */
  TransferDeduplication CREDIT_ONCE = Map::remove;

  /**
   * Returns the transfer to credit with the reply to transfer {@code number}, or null if the reply
   * is to be ignored.
   */
  @Nullable TransferRow takeUncredited(Map<Long, TransferRow> transfers, long number);
}
