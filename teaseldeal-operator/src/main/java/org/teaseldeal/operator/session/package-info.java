/**
 * Blocking sessions with the ledger: they access the log over HTTP and wait until an outcome is
 * known.
 */
@NullMarked
package org.teaseldeal.operator.session;

import org.jspecify.annotations.NullMarked;
