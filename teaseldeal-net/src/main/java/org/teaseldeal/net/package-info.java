/** HTTP server and client on Netty, shared by the daemons and tools. */
@NullMarked
package org.teaseldeal.net;

import org.jspecify.annotations.NullMarked;
