package org.teaseldeal.ledger.fold;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;

/**
 * Writes an exported state as a sequence of values in Thrift's compact protocol, without field
 * headers.
 */
final class StateWriter {
  private static final int INITIAL_BYTES = 4096;

  private final TMemoryBuffer buffer;
  private final TCompactProtocol protocol;

  StateWriter() {
    try {
      buffer = new TMemoryBuffer(INITIAL_BYTES);
    } catch (TException e) {
      throw new IllegalStateException("Could not allocate a memory buffer", e);
    }
    protocol = new TCompactProtocol(buffer);
  }

  StateWriter number(long value) {
    return write(() -> protocol.writeI64(value));
  }

  StateWriter text(String value) {
    return write(() -> protocol.writeString(value));
  }

  StateWriter flag(boolean value) {
    return number(value ? 1 : 0);
  }

  StateWriter optionalText(Optional<String> value) {
    flag(value.isPresent());
    value.ifPresent(this::text);
    return this;
  }

  StateWriter bytes(byte[] value) {
    return write(() -> protocol.writeBinary(ByteBuffer.wrap(value)));
  }

  byte[] toBytes() {
    return Arrays.copyOf(buffer.getArray(), buffer.length());
  }

  private StateWriter write(Write write) {
    try {
      write.run();
      return this;
    } catch (TException e) {
      throw new IllegalStateException("Could not write state into a memory buffer", e);
    }
  }

  private interface Write {
    void run() throws TException;
  }
}
