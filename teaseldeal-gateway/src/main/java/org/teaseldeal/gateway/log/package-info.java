/** What instances tell each other through a log that keeps the newest record of each key. */
@NullMarked
package org.teaseldeal.gateway.log;

import org.jspecify.annotations.NullMarked;
