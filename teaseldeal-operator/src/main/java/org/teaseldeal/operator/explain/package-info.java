/** Finds the cause of a request's end in the logs of several instances. */
@NullMarked
package org.teaseldeal.operator.explain;

import org.jspecify.annotations.NullMarked;
