package org.teaseldeal.ledger.codec;

import java.util.Arrays;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializable;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;

/** Encodes Thrift structs in the compact protocol. */
final class CompactBytes {
  private static final int INITIAL_BYTES = 512;

  private CompactBytes() {}

  static byte[] of(TSerializable struct) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
      struct.write(new TCompactProtocol(buffer));
      return Arrays.copyOf(buffer.getArray(), buffer.length());
    } catch (TException e) {
      throw new IllegalStateException("Could not encode a struct into a memory buffer", e);
    }
  }
}
