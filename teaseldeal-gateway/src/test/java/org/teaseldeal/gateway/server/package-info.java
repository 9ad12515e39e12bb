@NullMarked
package org.teaseldeal.gateway.server;

import org.jspecify.annotations.NullMarked;
