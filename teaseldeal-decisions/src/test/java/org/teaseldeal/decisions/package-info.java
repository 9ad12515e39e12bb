/**
 * Tests of the single policies, and of all of them together under the loads they are designed for.
 */
@NullMarked
package org.teaseldeal.decisions;

import org.jspecify.annotations.NullMarked;
