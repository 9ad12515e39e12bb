/** A plain service whose calls must not be repeated. */
@NullMarked
package org.teaseldeal.standin.service;

import org.jspecify.annotations.NullMarked;
