@NullMarked
package org.teaseldeal.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
