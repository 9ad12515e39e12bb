@NullMarked
package org.teaseldeal.gateway.handover;

import org.jspecify.annotations.NullMarked;
