/** Why callers' requests were lost, late or refused, counted from instances' logs. */
@NullMarked
package org.teaseldeal.operator.losses;

import org.jspecify.annotations.NullMarked;
