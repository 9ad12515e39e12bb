/** Handles each request from its arrival to its final answer. */
@NullMarked
package org.teaseldeal.gateway.flow;

import org.jspecify.annotations.NullMarked;
