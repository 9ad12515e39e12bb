/** Prepaid totals, divided among instances through a shared log. */
@NullMarked
package org.teaseldeal.gateway.account;

import org.jspecify.annotations.NullMarked;
