package org.teaseldeal.router.peer;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.wire.gen.peer.Envelope;
import org.teaseldeal.wire.gen.peer.Message;

/** Encodes and decodes the envelopes of messages between instances. */
final class EnvelopeCodec {
  static final int PROTOCOL_VERSION = 1;

  /** The largest envelope that is sent or received. */
  static final int MAX_ENVELOPE_BYTES = 1 << 20;

  private EnvelopeCodec() {}

  static byte[] encode(IncarnationId sender, Message message) {
    try {
      return new TSerializer(new TCompactProtocol.Factory())
          .serialize(new Envelope(PROTOCOL_VERSION, sender.value(), message));
    } catch (TException e) {
      throw new IllegalArgumentException("the message can't be encoded", e);
    }
  }

  /**
   * Decodes an envelope. Its message is not set if the message is of an unknown kind.
   *
   * @throws TException if the bytes are not an envelope
   */
  static Envelope decode(byte[] bytes) throws TException {
    Envelope envelope = new Envelope();
    try {
      new TDeserializer(new TCompactProtocol.Factory(MAX_ENVELOPE_BYTES, MAX_ENVELOPE_BYTES))
          .deserialize(envelope, bytes);
    } catch (RuntimeException e) {
      // On invalid input the decoder can fail with exceptions that its own checks do not cover.
      throw new TException(e);
    }
    return envelope;
  }

  /**
   * Returns whether an envelope has the supported version, a sender and a message of a known kind.
   */
  static boolean isKnown(Envelope envelope) {
    return envelope.getVersion() == PROTOCOL_VERSION
        && envelope.isSetSender()
        && !envelope.getSender().isBlank()
        && envelope.isSetMessage()
        && envelope.getMessage().isSet();
  }
}
