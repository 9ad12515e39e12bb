/**
 * Snapshots on the log: scheduling which instance writes one, and assembling snapshots from chunks.
 */
@NullMarked
package org.teaseldeal.ledger.snapshot;

import org.jspecify.annotations.NullMarked;
