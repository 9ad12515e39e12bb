/** The registration of a stand-in in the platform's instance list. */
@NullMarked
package org.teaseldeal.standin.registration;

import org.jspecify.annotations.NullMarked;
