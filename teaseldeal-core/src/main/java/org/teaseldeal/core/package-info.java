/**
 * One entry instance, made up of tables and of systems that process them on each tick, without
 * sockets.
 */
@NullMarked
package org.teaseldeal.core;

import org.jspecify.annotations.NullMarked;
