/**
 * Communication between instances: load messages, token transfers and relayed calls. Each message
 * may be lost or delayed without lasting harm.
 */
@NullMarked
package org.teaseldeal.gateway.peer;

import org.jspecify.annotations.NullMarked;
