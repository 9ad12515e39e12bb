package org.teaseldeal.ledger.fold;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Reads the values that {@link StateWriter} wrote. Every method throws an {@link
 * IllegalArgumentException} if the input has another form.
 */
final class StateReader {
  private final TMemoryInputTransport transport;
  private final TCompactProtocol protocol;

  StateReader(byte[] bytes) {
    TConfiguration limits =
        new TConfiguration(
            Integer.MAX_VALUE, Integer.MAX_VALUE, TConfiguration.DEFAULT_RECURSION_DEPTH);
    try {
      transport = new TMemoryInputTransport(limits, bytes);
    } catch (TException e) {
      throw new IllegalArgumentException("Exported state could not be opened", e);
    }
    protocol = new TCompactProtocol(transport);
  }

  long number() {
    return read(protocol::readI64);
  }

  /**
   * Reads a count. Each counted element takes at least one byte, so a count above the number of
   * bytes left is refused before memory is allocated for it.
   */
  int count() {
    long value = number();
    if (value < 0 || value > transport.getBytesRemainingInBuffer()) {
      throw new IllegalArgumentException(
          "state had a count of %d, expected 0 to %d"
              .formatted(value, transport.getBytesRemainingInBuffer()));
    }
    return (int) value;
  }

  String text() {
    return read(protocol::readString);
  }

  boolean flag() {
    return number() != 0;
  }

  Optional<String> optionalText() {
    return flag() ? Optional.of(text()) : Optional.empty();
  }

  byte[] bytes() {
    ByteBuffer buffer = read(protocol::readBinary);
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }

  /** Throws an {@link IllegalArgumentException} unless all bytes have been read. */
  void requireFullyRead() {
    if (transport.getBytesRemainingInBuffer() > 0) {
      throw new IllegalArgumentException(
          "state had %d bytes after its end".formatted(transport.getBytesRemainingInBuffer()));
    }
  }

  private static <T> T read(Read<T> read) {
    try {
      return read.run();
    } catch (TException e) {
      throw new IllegalArgumentException("Exported state could not be read", e);
    }
  }

  private interface Read<T> {
    T run() throws TException;
  }
}
