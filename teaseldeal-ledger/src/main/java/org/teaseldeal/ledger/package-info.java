/**
 * The ledger: a deterministic fold over the platform's log, and the types that read and write it.
 */
@NullMarked
package org.teaseldeal.ledger;

import org.jspecify.annotations.NullMarked;
