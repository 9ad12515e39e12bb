/**
 * Seeded simulations of a fleet of instances under faults, in virtual time. A run records the
 * observations of callers, operators and backend servers as a history, which is checked against the
 * product's guarantees.
 */
@NullMarked
package org.teaseldeal.bench.fault;

import org.jspecify.annotations.NullMarked;
