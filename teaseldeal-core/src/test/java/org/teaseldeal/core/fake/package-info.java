/**
 * Fakes of the environment of an instance, driven by one virtual clock and one seed.
 *
 * <p>Every effect (an append, a message, a frame) is an action at a virtual time in {@link
 * org.teaseldeal.core.fake.Simulation}. A fault scheduler therefore only schedules actions of its
 * own: kill or suspend an instance, cut a link, take the log down, silence a connection.
 */
@NullMarked
package org.teaseldeal.core.fake;

import org.jspecify.annotations.NullMarked;
