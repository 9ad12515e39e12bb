@NullMarked
package org.teaseldeal.gateway.event;

import org.jspecify.annotations.NullMarked;
