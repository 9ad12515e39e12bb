@NullMarked
package org.teaseldeal.gateway.flow;

import org.jspecify.annotations.NullMarked;
