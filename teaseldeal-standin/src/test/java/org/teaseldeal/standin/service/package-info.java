/** Tests of the plain service and its run counts. */
@NullMarked
package org.teaseldeal.standin.service;

import org.jspecify.annotations.NullMarked;
