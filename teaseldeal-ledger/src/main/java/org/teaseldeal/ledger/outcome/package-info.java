/** Typed outcomes that the fold produces for entries. */
@NullMarked
package org.teaseldeal.ledger.outcome;

import org.jspecify.annotations.NullMarked;
