@NullMarked
package org.teaseldeal.gateway.peer;

import org.jspecify.annotations.NullMarked;
