/** The fold: from records in offset order to the state of the ledger, the same for every reader. */
@NullMarked
package org.teaseldeal.ledger.fold;

import org.jspecify.annotations.NullMarked;
