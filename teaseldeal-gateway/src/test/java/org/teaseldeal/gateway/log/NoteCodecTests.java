package org.teaseldeal.gateway.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.TokenCounts;

class NoteCodecTests {
  private static final SharedNote.Account ACCOUNT =
      new SharedNote.Account("a@10.0.0.1", "trawler", 1, 2, 30, 4, 5, 6, 7, 8, 9, -9, 10, 11);

  @Test
  void decodesEncodedNotes() {
    for (SharedNote note :
        List.of(
            ACCOUNT,
            new SharedNote.Crash("a", "00ff", 2),
            new SharedNote.Crash("a", "00ff", 0),
            new SharedNote.ServerCrash("a", "i-1@17", 99, List.of("00ff", "01ff")),
            new SharedNote.ServerCrash("a", "i-1@17", 0, List.of()),
            new SharedNote.ClearedPart("a", "00ff", List.of("i-1@17", "i-2")),
            new SharedNote.ClearedPart("a", "00ff", List.of()),
            new SharedNote.ServerLeave("a", "i-1@17"),
            new SharedNote.ServerLimit("a", "i-1@17", 3, 1.5, false, "b"),
            new SharedNote.ServerLimit("a", "i-1@17", 4, 1.5, true, "a"),
            new SharedNote.ServerLimit("a", "i-1@17", 0, 0, true, "a"),
            new SharedNote.Presence("a", "10.0.0.1:7340"))) {
      assertEquals(note, NoteCodec.decode(NoteCodec.encode(note)));
      assertEquals(note, NoteMessage.decode(NoteMessage.encode(note)));
    }
  }

  /**
   * Guards against a note under the key of another one. The platform's store takes keys of 255
   * bytes; a longer one used to be cut at the writer, and its note replaced another.
   */
  @Test
  void encodesNotesAboutLongNamesUnderKeysOfTheirOwn() {
    Set<String> keys = new HashSet<>();
    for (String name :
        List.of(
            "trawler",
            "trawler".repeat(40),
            "trawler" + "x".repeat(256),
            "trawler" + "y".repeat(256),
            "\u0432".repeat(130),
            "sha256:00",
            "x".repeat(4_096))) {
      List<SharedNote> notes =
          List.of(
              account(name),
              new SharedNote.ServiceVersions(
                  "a@10.0.0.1", name, 1, List.of(new SharedNote.VersionSeen("v1", 2))));
      for (SharedNote note : notes) {
        KeyedRecord record = NoteCodec.encode(note);
        assertTrue(record.key().getBytes(StandardCharsets.UTF_8).length <= 255, () -> record.key());
        assertTrue(keys.add(record.key()), () -> "used twice: " + record.key());
        assertEquals(note, NoteCodec.decode(record));
        assertEquals(note, NoteMessage.decode(NoteMessage.encode(note)));
      }
    }
  }

  private static SharedNote.Account account(String customer) {
    return new SharedNote.Account("a@10.0.0.1", customer, 1, 2, 30, 4, 5, 6, 7, 8, 9, -9, 10, 11);
  }

  /**
   * Guards against tokens given out twice because nobody knows whom an unreadable note is about.
   */
  @Test
  void knowsTheCustomerOfAnUnreadableNoteAboutALongName() {
    String name = "x".repeat(300);
    KeyedRecord record = NoteCodec.encode(account(name));
    byte[] cut = Arrays.copyOf(record.value(), record.value().length - 1);
    SharedNote.UnreadableAccount placeholder =
        (SharedNote.UnreadableAccount)
            NoteCodec.placeholder(new KeyedRecord(record.key(), cut)).orElseThrow();
    assertEquals(SharedNote.customerInKey(name), placeholder.customer());
    assertEquals(OptionalLong.of(1 + 2 + 30 + 5), placeholder.taken());
    String otherKey = NoteCodec.encode(account("y".repeat(300))).key();
    SharedNote.UnreadableAccount ofAnother =
        (SharedNote.UnreadableAccount)
            NoteCodec.placeholder(new KeyedRecord(otherKey, cut)).orElseThrow();
    assertEquals(OptionalLong.empty(), ofAnother.taken());
  }

  /** Guards against an account without a name, whose note can't be written. */
  @Test
  void makesNoPlaceholderForARecordThatNamesNoCustomer() {
    assertEquals(
        Optional.empty(), NoteCodec.placeholder(new KeyedRecord("account|a|", new byte[] {4, 0})));
  }

  /** Guards against a note that counts for a customer that its key doesn't name. */
  @Test
  void rejectsNotesWhoseNameIsNotThatOfTheirKey() {
    KeyedRecord one = NoteCodec.encode(account("x".repeat(300)));
    KeyedRecord other = NoteCodec.encode(account("y".repeat(300)));
    assertThrows(
        IllegalArgumentException.class,
        () -> NoteCodec.decode(new KeyedRecord(one.key(), other.value())));
  }

  /**
   * Guards against tokens that are not counted during a rolling upgrade. An instance of the
   * previous version has written a note without the count of heartbeats and the release rate; an
   * instance of the new version has to read the remaining numbers, and to treat all idle and
   * claimed tokens as released immediately.
   */
  @Test
  void decodesNotesOfTheFirstLayout() {
    ByteBuffer value = ByteBuffer.allocate(1 + 9 * Long.BYTES).put((byte) 1);
    for (long number : new long[] {1, 2, 30, 4, 5, 6, 7, -9, 10}) {
      value.putLong(number);
    }
    SharedNote read =
        NoteCodec.decode(new KeyedRecord("account|a@10.0.0.1|trawler", value.array()));
    assertEquals(
        new SharedNote.Account(
            "a@10.0.0.1",
            "trawler",
            1,
            2,
            30,
            4,
            5,
            6,
            9,
            0,
            0,
            -9,
            10,
            SharedNote.Account.UNCOUNTED),
        read);
  }

  /**
   * Guards against an exceeded total during a rolling upgrade. An instance of the previous version
   * used idle tokens sooner after its note; an instance of the new version has to treat all of them
   * as released immediately.
   */
  @Test
  void treatsIdleTokensOfTheThirdLayoutAsReleased() {
    ByteBuffer value = ByteBuffer.allocate(1 + 12 * Long.BYTES).put((byte) 3);
    for (long number : new long[] {1, 2, 30, 4, 5, 6, 7, -9, 10, 11, 12, 13}) {
      value.putLong(number);
    }
    SharedNote read =
        NoteCodec.decode(new KeyedRecord("account|a@10.0.0.1|trawler", value.array()));
    assertEquals(
        new SharedNote.Account("a@10.0.0.1", "trawler", 1, 2, 30, 4, 5, 6, 9, 13, 12, -9, 10, 11),
        read);
  }

  @Test
  void rejectsUnknownKeysAndLayouts() {
    for (KeyedRecord record :
        List.of(
            new KeyedRecord("account|a|trawler", new byte[] {9}),
            new KeyedRecord("account|a|trawler", new byte[] {2, 0, 0}),
            new KeyedRecord("account", new byte[] {2}),
            new KeyedRecord("weather|a|b", new byte[] {2}))) {
      assertThrows(IllegalArgumentException.class, () -> NoteCodec.decode(record));
    }
  }

  /**
   * Guards against disturbances by foreign writers. An invalid address would make every message to
   * all other instances fail; a negative count would lift the quarantine of a request that crashes
   * servers.
   */
  @Test
  void rejectsInvalidNumbersAndAddresses() {
    byte[] account = NoteCodec.encode(ACCOUNT).value();
    for (KeyedRecord record :
        List.of(
            new KeyedRecord("account|a|trawler", Arrays.copyOf(account, account.length + 1)),
            new KeyedRecord("account|a|trawler", Arrays.copyOf(account, account.length - 1)),
            new KeyedRecord("account|a|trawler", new byte[0]),
            new KeyedRecord("account||trawler", account),
            new KeyedRecord("account|a|", account),
            accountRecord(Long.MAX_VALUE, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
            accountRecord(0, 0, 3, 4, 0, 0, 0, 0, 0, 0, 0, 0),
            accountRecord(0, 0, 4, 4, 5, 0, 10, 0, 0, 0, 0, 0),
            accountRecord(0, 0, 4, 4, 5, 0, -1, 0, 0, 0, 0, 0),
            accountRecord(0, 0, 4, 4, 5, 0, 0, 0, 0, 0, -1, 0),
            record(new SharedNote.Crash("a", "00ff", -1)),
            new KeyedRecord("crash|a|00ff", new byte[] {3, 0, 0, 0, 0}),
            new KeyedRecord("crash|a|00ff", new byte[] {3, 0, 0, 0, 1, 0}),
            new KeyedRecord("crash||00ff", new byte[] {3, 0, 0, 0, 1}),
            new KeyedRecord(
                "server-crash|a|i-1", new byte[] {4, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0}),
            new KeyedRecord("server-crash|a|", new byte[0]),
            new KeyedRecord("cleared-part|a|00ff", new byte[] {4, 127, 0, 0, 0}),
            new KeyedRecord("cleared-part|a|00ff", new byte[] {4, 0, 0, 0, 1, 0, 2, 65}),
            record(new SharedNote.Presence("a", "nowhere")),
            record(new SharedNote.Presence("a", "peer.example:80")),
            record(new SharedNote.Presence("a", "")),
            record(new SharedNote.Presence("", "10.0.0.1:7340")))) {
      assertThrows(
          IllegalArgumentException.class, () -> NoteCodec.decode(record), record.toString());
    }
  }

  /**
   * Guards against a customer that is refused for good after a restart: its instance had written a
   * note that no instance could read.
   */
  @Property(tries = 2_000, seed = "4711")
  void everyAccountThatCanBeComposedCanBeRead(
      @ForAll("counts") long spent,
      @ForAll("counts") long writtenOff,
      @ForAll("counts") long held,
      @ForAll("counts") long idle,
      @ForAll("counts") long claimed,
      @ForAll("counts") long immediate,
      @ForAll("counts") long rate) {
    SharedNote.Account note;
    try {
      note =
          new SharedNote.Account(
              "a", "c", spent, writtenOff, held, idle, claimed, 0, immediate, rate, rate, 0, 0, 0);
    } catch (IllegalArgumentException e) {
      assertNotNull(e.getMessage());
      return;
    }
    assertEquals(note, NoteCodec.decode(NoteCodec.encode(note)));
  }

  @Provide
  Arbitrary<Long> counts() {
    return Arbitraries.of(
        0L,
        1L,
        2L,
        TokenCounts.MAX_TOTAL,
        Long.MAX_VALUE / 2,
        Long.MAX_VALUE - 1,
        Long.MAX_VALUE,
        -1L,
        Long.MIN_VALUE);
  }

  /**
   * Guards against tokens that are given out twice, or lost for good, after an upgrade. An earlier
   * version wrote a claim or a rate that is out of range beside numbers that are correct.
   */
  @Test
  void showsWhatAnUnreadableNoteOfAnEarlierVersionHadTaken() {
    assertEquals(
        OptionalLong.of(33),
        taken(accountRecord(1, 2, 30, 4, Long.MAX_VALUE, 0, 0, 0, 0, 0, 0, 0)));
    assertEquals(OptionalLong.of(38), taken(accountRecord(1, 2, 30, 4, 5, 0, 0, 0, 0, 0, -1, 0)));
    assertEquals(OptionalLong.empty(), taken(accountRecord(-1, 2, 30, 4, 5, 0, 0, 0, 0, 0, 0, 0)));
    assertEquals(
        OptionalLong.empty(),
        taken(accountRecord(Long.MAX_VALUE, 2, 30, 4, 5, 0, 0, 0, 0, 0, 0, 0)));
    assertEquals(
        OptionalLong.empty(), taken(new KeyedRecord("account|a|trawler", new byte[] {4, 0, 0})));
  }

  private static OptionalLong taken(KeyedRecord record) {
    return ((SharedNote.UnreadableAccount) NoteCodec.placeholder(record).orElseThrow()).taken();
  }

  /** Returns an account note of the newest layout with the given numbers. */
  private static KeyedRecord accountRecord(long... numbers) {
    ByteBuffer value = ByteBuffer.allocate(1 + 12 * Long.BYTES).put((byte) 4);
    for (long number : numbers) {
      value.putLong(number);
    }
    return new KeyedRecord("account|a|trawler", value.array());
  }

  @Property(tries = 2_000, seed = "4711")
  void arbitraryBytesCauseNoOtherException(
      @ForAll("kinds") String kind, @ForAll @Size(max = 120) byte[] value) {
    try {
      NoteCodec.decode(new KeyedRecord(kind + "|a|b", value));
    } catch (IllegalArgumentException e) {
      assertNotNull(e.getMessage());
    }
  }

  @Provide
  Arbitrary<String> kinds() {
    return Arbitraries.of(
        "account", "crash", "presence", "server-crash", "cleared-part", "weather", "");
  }

  private static KeyedRecord record(SharedNote note) {
    return NoteCodec.encode(note);
  }
}
