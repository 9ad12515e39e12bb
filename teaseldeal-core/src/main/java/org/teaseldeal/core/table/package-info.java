/**
 * The tables of an instance: mutable rows without behaviour of their own.
 *
 * <p>Rows have public fields, because all systems in {@code org.teaseldeal.core.system} work on
 * them and no other code has access to them. Data that leaves the instance is copied into records.
 */
@NullMarked
package org.teaseldeal.core.table;

import org.jspecify.annotations.NullMarked;
