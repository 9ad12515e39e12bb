/** Read-only views of the folded state. */
@NullMarked
package org.teaseldeal.ledger.state;

import org.jspecify.annotations.NullMarked;
