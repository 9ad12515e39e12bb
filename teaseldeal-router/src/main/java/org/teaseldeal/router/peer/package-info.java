/** Messaging between instances: Thrift envelopes in length-prefixed frames over TCP. */
@NullMarked
package org.teaseldeal.router.peer;

import org.jspecify.annotations.NullMarked;
