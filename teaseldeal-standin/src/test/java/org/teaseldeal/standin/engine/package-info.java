/** Tests of the simulated inference engine, its prefix cache and its configuration. */
@NullMarked
package org.teaseldeal.standin.engine;

import org.jspecify.annotations.NullMarked;
