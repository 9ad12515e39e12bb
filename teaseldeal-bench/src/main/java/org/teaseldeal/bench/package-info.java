/**
 * The program {@code teaseldeal-bench}, which runs loads and fault simulations and writes reports.
 */
@NullMarked
package org.teaseldeal.bench;

import org.jspecify.annotations.NullMarked;
