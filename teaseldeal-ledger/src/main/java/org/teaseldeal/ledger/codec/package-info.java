/** Encodes and decodes entries and batches as Thrift structs in the compact protocol. */
@NullMarked
package org.teaseldeal.ledger.codec;

import org.jspecify.annotations.NullMarked;
