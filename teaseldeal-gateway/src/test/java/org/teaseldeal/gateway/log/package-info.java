@NullMarked
package org.teaseldeal.gateway.log;

import org.jspecify.annotations.NullMarked;
