/** Tests of complete instances in one process, with fakes of everything around them. */
@NullMarked
package org.teaseldeal.core;

import org.jspecify.annotations.NullMarked;
