/**
 * Follows one stream of the ledger for an instance: appends entries in groups, reads and folds
 * records, and writes snapshots.
 */
@NullMarked
package org.teaseldeal.ledger.client;

import org.jspecify.annotations.NullMarked;
