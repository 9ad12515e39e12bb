/** Tests of the messaging between instances. */
@NullMarked
package org.teaseldeal.router.peer;

import org.jspecify.annotations.NullMarked;
