package org.teaseldeal.gateway.log;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Notes as records: the key names kind, instance and subject, the value holds the numbers.
 *
 * <p>A value begins with the version of its layout, so that a fleet can be upgraded in turn.
 */
final class NoteCodec {
  private static final String ACCOUNT = "account";
  private static final String CRASH = "crash";
  private static final String PRESENCE = "presence";
  private static final byte LAYOUT = 3;

  /** Without the pace. */
  private static final byte SECOND_LAYOUT = 2;

  /** Without the count of heartbeats and the rate, too. */
  private static final byte FIRST_LAYOUT = 1;

  private NoteCodec() {}

  /** Writes the numbers of a note. */
  private interface Body {
    void write(DataOutputStream out) throws IOException;
  }

  static KeyedRecord encode(SharedNote note) {
    return switch (note) {
      case SharedNote.Account account ->
          record(
              key(ACCOUNT, account.instance(), account.customer()),
              out -> {
                out.writeLong(account.spent());
                out.writeLong(account.lost());
                out.writeLong(account.held());
                out.writeLong(account.idle());
                out.writeLong(account.asked());
                out.writeLong(account.wanted());
                out.writeLong(account.promised());
                out.writeLong(account.steadyNanos());
                out.writeLong(account.wallMillis());
                out.writeLong(account.heartbeats());
                out.writeLong(account.tokensPerSecond());
                out.writeLong(account.pace());
              });
      case SharedNote.Crash crash ->
          crash.count() == 0
              ? withdrawal(key(CRASH, crash.instance(), crash.fingerprint()))
              : record(
                  key(CRASH, crash.instance(), crash.fingerprint()),
                  out -> out.writeInt(crash.count()));
      case SharedNote.Presence presence ->
          record(
              key(PRESENCE, presence.instance(), ""), out -> out.writeUTF(presence.peerAddress()));
    };
  }

  /**
   * Reads a note.
   *
   * @throws IllegalArgumentException if the record is none of this layout
   */
  static SharedNote decode(KeyedRecord record) {
    String[] key = record.key().split("\\|", 3);
    if (key.length != 3) {
      throw new IllegalArgumentException(
          "key was '%s', expected kind|instance|subject".formatted(record.key()));
    }
    if (record.value().length == 0 && key[0].equals(CRASH)) {
      return new SharedNote.Crash(key[1], key[2], 0);
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(record.value()))) {
      byte layout = in.readByte();
      if (layout < FIRST_LAYOUT || layout > LAYOUT) {
        throw new IllegalArgumentException(
            "layout of %s was %d, expected %d to %d"
                .formatted(record.key(), layout, FIRST_LAYOUT, LAYOUT));
      }
      return decode(layout, key, in);
    } catch (IOException e) {
      throw new IllegalArgumentException("value of %s is too short".formatted(record.key()), e);
    }
  }

  private static SharedNote decode(byte layout, String[] key, DataInputStream in)
      throws IOException {
    String kind = key[0];
    String instance = key[1];
    String subject = key[2];
    return switch (kind) {
      case ACCOUNT -> account(layout, instance, subject, in);
      case CRASH -> new SharedNote.Crash(instance, subject, in.readInt());
      case PRESENCE -> new SharedNote.Presence(instance, in.readUTF());
      default ->
          throw new IllegalArgumentException(
              "kind was '%s', expected account, crash or presence".formatted(kind));
    };
  }

  /**
   * Reads the numbers of an account.
   *
   * <p>Versions without a pace used idle tokens by another rule: to a successor all may be used.
   */
  private static SharedNote.Account account(
      byte layout, String instance, String customer, DataInputStream in) throws IOException {
    long spent = in.readLong();
    long lost = in.readLong();
    long held = in.readLong();
    long idle = in.readLong();
    long asked = in.readLong();
    long wanted = in.readLong();
    long promised = in.readLong();
    long steadyNanos = in.readLong();
    long wallMillis = in.readLong();
    boolean first = layout == FIRST_LAYOUT;
    long heartbeats = first ? SharedNote.Account.UNCOUNTED : in.readLong();
    long tokensPerSecond = first ? 0 : in.readLong();
    boolean paced = layout > SECOND_LAYOUT;
    long pace = paced ? in.readLong() : 0;
    return new SharedNote.Account(
        instance,
        customer,
        spent,
        lost,
        held,
        idle,
        asked,
        wanted,
        paced ? promised : idle + asked,
        pace,
        tokensPerSecond,
        steadyNanos,
        wallMillis,
        heartbeats);
  }

  private static String key(String kind, String instance, String subject) {
    return kind + "|" + instance + "|" + subject;
  }

  /** A record without a value: the log drops its key, so that what is over takes no room. */
  private static KeyedRecord withdrawal(String key) {
    return new KeyedRecord(key, new byte[0]);
  }

  private static KeyedRecord record(String key, Body body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(LAYOUT);
      body.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new KeyedRecord(key, bytes.toByteArray());
  }
}
