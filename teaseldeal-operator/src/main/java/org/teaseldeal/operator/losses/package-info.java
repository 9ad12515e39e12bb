/** Counts from the logs of instances why callers' requests were lost, late or refused. */
@NullMarked
package org.teaseldeal.operator.losses;

import org.jspecify.annotations.NullMarked;
