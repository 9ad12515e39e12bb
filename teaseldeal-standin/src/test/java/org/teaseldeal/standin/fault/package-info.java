/** Tests of the faults that all stand-ins have in common. */
@NullMarked
package org.teaseldeal.standin.fault;

import org.jspecify.annotations.NullMarked;
