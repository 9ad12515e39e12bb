/** The tokens that one instance holds, recorded by the source to which they were leased. */
@NullMarked
package org.teaseldeal.ledger.lease;

import org.jspecify.annotations.NullMarked;
