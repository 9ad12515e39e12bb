/** What an instance decides and believes, as typed events for logs and metrics. */
@NullMarked
package org.teaseldeal.gateway.event;

import org.jspecify.annotations.NullMarked;
