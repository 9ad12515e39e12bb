/** Typed entries that writers put on the log. */
@NullMarked
package org.teaseldeal.ledger.entry;

import org.jspecify.annotations.NullMarked;
