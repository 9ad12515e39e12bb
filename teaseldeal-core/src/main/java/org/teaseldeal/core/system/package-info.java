/**
 * The systems of an instance. Each has one task, and all run over the instance's tables in a fixed
 * order on each tick.
 */
@NullMarked
package org.teaseldeal.core.system;

import org.jspecify.annotations.NullMarked;
