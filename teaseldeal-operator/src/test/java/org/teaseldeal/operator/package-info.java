/**
 * Tests of the operator's command line: what it prints, and how it behaves when the platform fails.
 */
@NullMarked
package org.teaseldeal.operator;

import org.jspecify.annotations.NullMarked;
