/**
 * A model of the whole system in virtual time: the gateway's real parts, with callers, backend
 * servers, the shared log and the network played by hand-written stand-ins.
 */
@NullMarked
package org.teaseldeal.model;

import org.jspecify.annotations.NullMarked;
