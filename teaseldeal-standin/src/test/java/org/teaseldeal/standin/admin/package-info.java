/** Tests of the admin address: fault updates and the history of events. */
@NullMarked
package org.teaseldeal.standin.admin;

import org.jspecify.annotations.NullMarked;
