/** Tests of the complete product: module dependencies and programs run as processes. */
@NullMarked
package org.teaseldeal.dist;

import org.jspecify.annotations.NullMarked;
