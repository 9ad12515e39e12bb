package org.teaseldeal.gateway.log;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UTFDataFormatException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.TokenCounts;
import org.teaseldeal.net.IpAddresses;

/**
 * Encodes notes as records: the key consists of kind, instance and subject, the value holds the
 * numbers.
 *
 * <p>A value begins with the version of its layout, so that a fleet can be upgraded instance by
 * instance.
 */
final class NoteCodec {
  private static final String ACCOUNT = "account";
  private static final String CRASH = "crash";
  private static final String PRESENCE = "presence";
  private static final String VERSIONS = "versions";
  private static final String STREAMS = "streams";
  private static final String SERVER_CRASH = "server-crash";
  private static final String CLEARED_PART = "cleared-part";
  private static final String SERVER_LIMIT = "server-limit";
  private static final String SERVER_LEAVE = "server-leave";

  /** More streams than one instance begins within seconds. */
  private static final int MAX_STREAMS = 10_000;

  /** More versions than ever serve side by side; bounds the memory that a foreign note takes. */
  private static final int MAX_VERSIONS = 1_000;

  /** More names than an instance writes in one note about crashes. */
  private static final int MAX_NAMES = 10_000;

  /**
   * Upper limit of the number of crashes in a note: far more than one instance sees before all
   * instances refuse the request.
   */
  private static final int MAX_CRASHES = 1_000;

  /** Length of an account note of the first layout in bytes: its number and nine others. */
  private static final int MIN_ACCOUNT_LENGTH = 1 + 9 * Long.BYTES;

  private static final byte CURRENT_LAYOUT = 4;

  /** Set beside the layout if the value begins with the subject, as its hash is in the key. */
  private static final int SUBJECT_FLAG = 0x40;

  /** Set beside the layout if the note is withdrawn. */
  private static final int WITHDRAWN_FLAG = 0x20;

  /**
   * The layout with the same numbers as the current one, whose writers used idle tokens sooner
   * after the note.
   */
  private static final byte THIRD_LAYOUT = 3;

  /** The layout without the release rate. */
  private static final byte SECOND_LAYOUT = 2;

  /** The layout without the release rate, the count of heartbeats and the rate of reservations. */
  private static final byte FIRST_LAYOUT = 1;

  private NoteCodec() {}

  /** Writes the numbers of a note. */
  private interface BodyWriter {
    void write(DataOutputStream out) throws IOException;
  }

  static KeyedRecord encode(SharedNote note) {
    return switch (note) {
      case SharedNote.Account account ->
          record(
              new NoteKey(ACCOUNT, account.instance(), account.customer()),
              out -> {
                out.writeLong(account.spent());
                out.writeLong(account.writtenOff());
                out.writeLong(account.held());
                out.writeLong(account.idle());
                out.writeLong(account.claimed());
                out.writeLong(account.shortfall());
                out.writeLong(account.immediate());
                out.writeLong(account.steadyNanos());
                out.writeLong(account.wallMillis());
                out.writeLong(account.heartbeats());
                out.writeLong(account.tokensPerSecond());
                out.writeLong(account.releasedPerSecond());
              });
      case SharedNote.Crash crash ->
          crash.count() == 0
              ? emptyRecord(new NoteKey(CRASH, crash.instance(), crash.fingerprint()))
              : record(
                  new NoteKey(CRASH, crash.instance(), crash.fingerprint()),
                  out -> out.writeInt(crash.count()));
      case SharedNote.ServerCrash crash -> {
        NoteKey key = new NoteKey(SERVER_CRASH, crash.instance(), crash.server());
        yield crash.parts().isEmpty()
            ? emptyRecord(key)
            : record(
                key,
                out -> {
                  out.writeLong(crash.wallMillis());
                  writeNames(crash.parts(), out);
                });
      }
      case SharedNote.ClearedPart cleared -> {
        NoteKey key = new NoteKey(CLEARED_PART, cleared.instance(), cleared.part());
        yield cleared.crashes().isEmpty()
            ? emptyRecord(key)
            : record(key, out -> writeNames(cleared.crashes(), out));
      }
      case SharedNote.ServerLimit limit -> {
        NoteKey key = new NoteKey(SERVER_LIMIT, limit.instance(), limit.server());
        yield limit.sequence() == 0
            ? emptyRecord(key)
            : record(
                key,
                out -> {
                  out.writeLong(limit.sequence());
                  out.writeDouble(limit.requestsPerSecond());
                  out.writeBoolean(limit.ended());
                  out.writeUTF(limit.source());
                });
      }
      case SharedNote.ServerLeave leave ->
          record(new NoteKey(SERVER_LEAVE, leave.instance(), leave.server()), out -> {});
      case SharedNote.ServiceVersions versions ->
          record(
              new NoteKey(VERSIONS, versions.instance(), versions.service()),
              out -> writeVersions(versions, out));
      case SharedNote.StreamVersions streams ->
          record(new NoteKey(STREAMS, streams.instance(), ""), out -> writeStreams(streams, out));
      case SharedNote.UnreadableAccount unreadable ->
          throw new IllegalArgumentException("an unreadable account note can't be encoded");
      case SharedNote.Presence presence ->
          record(
              new NoteKey(PRESENCE, presence.instance(), ""),
              out -> out.writeUTF(presence.peerAddress()));
    };
  }

  /**
   * Decodes a note.
   *
   * @throws IllegalArgumentException if the record has none of the known layouts or contains
   *     invalid values
   */
  static SharedNote decode(KeyedRecord record) {
    NoteKey key = NoteKey.parse(record.key());
    if (record.value().length == 0) {
      Optional<SharedNote> withdrawn = decodeWithdrawn(key);
      if (withdrawn.isPresent()) {
        return withdrawn.get();
      }
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(record.value()))) {
      byte first = in.readByte();
      byte layout = (byte) (first & ~(SUBJECT_FLAG | WITHDRAWN_FLAG));
      if (layout < FIRST_LAYOUT || layout > CURRENT_LAYOUT) {
        throw new IllegalArgumentException(
            "layout of %s was %d, expected %d to %d"
                .formatted(record.key(), layout, FIRST_LAYOUT, CURRENT_LAYOUT));
      }
      boolean named = (first & SUBJECT_FLAG) != 0;
      NoteKey fullKey = named ? key.withSubject(in.readUTF()) : key;
      if (named && !fullKey.toRecordKey().equals(record.key())) {
        throw new IllegalArgumentException(
            "value of %s is about '%s'".formatted(record.key(), fullKey.subject()));
      }
      SharedNote note =
          (first & WITHDRAWN_FLAG) == 0
              ? decode(layout, fullKey, in)
              : decodeWithdrawn(fullKey)
                  .orElseThrow(
                      () ->
                          new IllegalArgumentException(
                              "notes like %s are never withdrawn".formatted(record.key())));
      if (in.available() > 0) {
        throw new IllegalArgumentException("value of %s is too long".formatted(record.key()));
      }
      return note;
    } catch (IOException e) {
      throw new IllegalArgumentException("value of %s is too short".formatted(record.key()), e);
    }
  }

  /**
   * Returns a placeholder for the account that a record rejected by {@link #decode} is about; empty
   * if it is not about a customer's account.
   */
  static Optional<SharedNote> placeholder(KeyedRecord record) {
    NoteKey key;
    try {
      key = NoteKey.parse(record.key());
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
    return key.kind().equals(ACCOUNT) && !key.subject().isBlank()
        ? Optional.of(
            new SharedNote.UnreadableAccount(
                key.instance(),
                key.subject(),
                namesAnother(key, record.value())
                    ? OptionalLong.empty()
                    : takenTokens(record.value())))
        : Optional.empty();
  }

  /**
   * Returns what a rejected account note says that its instance had taken of the total. Earlier
   * versions could write a rate or a claim that is out of range beside numbers that are correct. A
   * claim that is larger than any total was never granted.
   */
  private static OptionalLong takenTokens(byte[] value) {
    int layout = value.length == 0 ? 0 : value[0] & ~SUBJECT_FLAG;
    int start = value.length == 0 ? 0 : 1 + subjectLength(value);
    if (value.length - start < MIN_ACCOUNT_LENGTH - 1
        || layout < FIRST_LAYOUT
        || layout > CURRENT_LAYOUT) {
      return OptionalLong.empty();
    }
    ByteBuffer numbers = ByteBuffer.wrap(value, start, value.length - start);
    long spent = numbers.getLong();
    long writtenOff = numbers.getLong();
    long held = numbers.getLong();
    numbers.getLong(); // The idle tokens are part of those that are held.
    long claimed = numbers.getLong();
    if (!isTotal(spent) || !isTotal(writtenOff) || !isTotal(held)) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(spent + writtenOff + held + (isTotal(claimed) ? claimed : 0));
  }

  /** Returns whether a value names another subject than the one whose hash is in the key. */
  private static boolean namesAnother(NoteKey key, byte[] value) {
    if (value.length == 0 || (value[0] & SUBJECT_FLAG) == 0) {
      return false;
    }
    try (DataInputStream in =
        new DataInputStream(new ByteArrayInputStream(value, 1, value.length - 1))) {
      return !NoteKey.subjectInKey(in.readUTF()).equals(key.subject());
    } catch (IOException e) {
      return true;
    }
  }

  /** Returns the length in bytes of the subject that a value begins with; 0 if there is none. */
  private static int subjectLength(byte[] value) {
    return (value[0] & SUBJECT_FLAG) == 0 || value.length < 1 + Short.BYTES
        ? 0
        : Short.BYTES + Short.toUnsignedInt(ByteBuffer.wrap(value).getShort(1));
  }

  private static boolean isTotal(long tokens) {
    return tokens >= 0 && tokens <= TokenCounts.MAX_TOTAL;
  }

  private static Optional<SharedNote> decodeWithdrawn(NoteKey key) {
    String instance = key.instance();
    String subject = key.subject();
    return switch (key.kind()) {
      case CRASH -> Optional.of(new SharedNote.Crash(instance, subject, 0));
      case SERVER_CRASH -> Optional.of(new SharedNote.ServerCrash(instance, subject, 0, List.of()));
      case CLEARED_PART -> Optional.of(new SharedNote.ClearedPart(instance, subject, List.of()));
      case SERVER_LIMIT ->
          Optional.of(new SharedNote.ServerLimit(instance, subject, 0, 0, true, instance));
      default -> Optional.empty();
    };
  }

  private static SharedNote decode(byte layout, NoteKey key, DataInputStream in)
      throws IOException {
    String kind = key.kind();
    String instance = key.instance();
    String subject = key.subject();
    return switch (kind) {
      case ACCOUNT -> decodeAccount(layout, instance, subject, in);
      case CRASH -> new SharedNote.Crash(instance, subject, limitedCrashes(in.readInt()));
      case PRESENCE -> new SharedNote.Presence(instance, validatedAddress(in.readUTF()));
      case VERSIONS ->
          new SharedNote.ServiceVersions(instance, subject, in.readLong(), readVersions(in));
      case STREAMS -> new SharedNote.StreamVersions(instance, readStreams(in));
      case SERVER_CRASH ->
          new SharedNote.ServerCrash(instance, subject, in.readLong(), readNames(in));
      case CLEARED_PART -> new SharedNote.ClearedPart(instance, subject, readNames(in));
      case SERVER_LIMIT ->
          new SharedNote.ServerLimit(
              instance,
              subject,
              positive(in.readLong()),
              in.readDouble(),
              in.readBoolean(),
              in.readUTF());
      case SERVER_LEAVE -> new SharedNote.ServerLeave(instance, subject);
      default ->
          throw new IllegalArgumentException(
              ("kind was '%s', expected account, crash, presence, versions, streams, server-crash,"
                      + " cleared-part, server-limit or server-leave")
                  .formatted(kind));
    };
  }

  private static long positive(long sequence) {
    Preconditions.require(sequence > 0, "sequence was %d, expected at least 1".formatted(sequence));
    return sequence;
  }

  private static void writeNames(List<String> names, DataOutputStream out) throws IOException {
    out.writeInt(names.size());
    for (String name : names) {
      out.writeUTF(name);
    }
  }

  private static List<String> readNames(DataInputStream in) throws IOException {
    int count = in.readInt();
    Preconditions.require(
        count > 0 && count <= MAX_NAMES,
        "names were %d, expected 1 to %d".formatted(count, MAX_NAMES));
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add(in.readUTF());
    }
    return names;
  }

  private static void writeStreams(SharedNote.StreamVersions note, DataOutputStream out)
      throws IOException {
    out.writeInt(note.streams().size());
    for (SharedNote.VersionOfStream each : note.streams()) {
      out.writeLong(each.stream());
      out.writeUTF(each.version());
    }
  }

  private static List<SharedNote.VersionOfStream> readStreams(DataInputStream in)
      throws IOException {
    int count = in.readInt();
    Preconditions.require(
        count >= 0 && count <= MAX_STREAMS,
        "streams were %d, expected 0 to %d".formatted(count, MAX_STREAMS));
    List<SharedNote.VersionOfStream> streams = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      streams.add(new SharedNote.VersionOfStream(in.readLong(), in.readUTF()));
    }
    return streams;
  }

  private static void writeVersions(SharedNote.ServiceVersions note, DataOutputStream out)
      throws IOException {
    out.writeLong(note.wallMillis());
    out.writeInt(note.versions().size());
    for (SharedNote.VersionSeen seen : note.versions()) {
      out.writeUTF(seen.version());
      out.writeLong(seen.millisAgo());
    }
  }

  private static List<SharedNote.VersionSeen> readVersions(DataInputStream in) throws IOException {
    int count = in.readInt();
    Preconditions.require(
        count >= 0 && count <= MAX_VERSIONS,
        "versions were %d, expected 0 to %d".formatted(count, MAX_VERSIONS));
    List<SharedNote.VersionSeen> versions = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      versions.add(new SharedNote.VersionSeen(in.readUTF(), in.readLong()));
    }
    return versions;
  }

  /**
   * Reads a positive count, limited such that sums can't overflow; a larger count has no further
   * effect. A withdrawn count has an empty value instead.
   */
  private static int limitedCrashes(int count) {
    Preconditions.requirePositive(count, "crashes");
    return Math.min(count, MAX_CRASHES);
  }

  /**
   * Validates an address; a message to an invalid address fails together with the messages to all
   * other instances.
   */
  private static String validatedAddress(String text) {
    IpAddresses.parse(text);
    return text;
  }

  /**
   * Reads the numbers of an account.
   *
   * <p>Earlier versions used idle tokens by other rules, so a successor has to treat all of them as
   * released immediately.
   */
  private static SharedNote.Account decodeAccount(
      byte layout, String instance, String customer, DataInputStream in) throws IOException {
    long spent = in.readLong();
    long writtenOff = in.readLong();
    long held = in.readLong();
    long idle = in.readLong();
    long claimed = in.readLong();
    long shortfall = in.readLong();
    long immediate = in.readLong();
    long steadyNanos = in.readLong();
    long wallMillis = in.readLong();
    boolean first = layout == FIRST_LAYOUT;
    long heartbeats = first ? SharedNote.Account.UNCOUNTED : in.readLong();
    long tokensPerSecond = first ? 0 : in.readLong();
    long releasedPerSecond = layout > SECOND_LAYOUT ? in.readLong() : 0;
    boolean sameRule = layout > THIRD_LAYOUT;
    return new SharedNote.Account(
        instance,
        customer,
        spent,
        writtenOff,
        held,
        idle,
        claimed,
        shortfall,
        sameRule ? immediate : idle + claimed,
        releasedPerSecond,
        tokensPerSecond,
        steadyNanos,
        wallMillis,
        heartbeats);
  }

  /**
   * Returns a record without a value, which makes the log drop the key, so that a withdrawn note
   * takes no space. Only the value can name a subject that is hashed in the key.
   */
  private static KeyedRecord emptyRecord(NoteKey key) {
    return key.isSubjectHashed()
        ? record(key, CURRENT_LAYOUT | WITHDRAWN_FLAG, out -> {})
        : new KeyedRecord(key.toRecordKey(), new byte[0]);
  }

  private static KeyedRecord record(NoteKey key, BodyWriter body) {
    return record(key, CURRENT_LAYOUT, body);
  }

  private static KeyedRecord record(NoteKey key, int layout, BodyWriter body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      if (key.isSubjectHashed()) {
        out.writeByte(layout | SUBJECT_FLAG);
        out.writeUTF(key.subject());
      } else {
        out.writeByte(layout);
      }
      body.write(out);
    } catch (UTFDataFormatException e) {
      throw new IllegalArgumentException("a name in the note is too long", e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new KeyedRecord(key.toRecordKey(), bytes.toByteArray());
  }
}
