/** What is known of backend servers. */
@NullMarked
package org.teaseldeal.gateway.server;

import org.jspecify.annotations.NullMarked;
