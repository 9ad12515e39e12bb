@NullMarked
package org.teaseldeal.gateway.plan;

import org.jspecify.annotations.NullMarked;
