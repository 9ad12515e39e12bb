/** The admin address of a stand-in: faults, history of events, counters. */
@NullMarked
package org.teaseldeal.standin.admin;

import org.jspecify.annotations.NullMarked;
