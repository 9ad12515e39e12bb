/** Renders load results as an HTML page. */
@NullMarked
package org.teaseldeal.bench.report;

import org.jspecify.annotations.NullMarked;
