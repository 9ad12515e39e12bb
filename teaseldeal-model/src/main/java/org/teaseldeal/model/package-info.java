/**
 * A simulation of the whole system in virtual time: the gateway's production code, with simulated
 * callers, backend servers, shared log and network.
 */
@NullMarked
package org.teaseldeal.model;

import org.jspecify.annotations.NullMarked;
