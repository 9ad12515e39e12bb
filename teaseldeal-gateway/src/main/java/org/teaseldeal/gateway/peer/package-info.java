/** What instances tell each other directly; all of it may be lost or late without harm. */
@NullMarked
package org.teaseldeal.gateway.peer;

import org.jspecify.annotations.NullMarked;
