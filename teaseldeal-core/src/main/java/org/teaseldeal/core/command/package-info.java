/** Outputs of an instance, as typed commands that the network layer carries out. */
@NullMarked
package org.teaseldeal.core.command;

import org.jspecify.annotations.NullMarked;
