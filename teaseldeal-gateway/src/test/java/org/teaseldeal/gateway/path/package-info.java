@NullMarked
package org.teaseldeal.gateway.path;

import org.jspecify.annotations.NullMarked;
