package org.teaseldeal.gateway.log;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The key of a note: its kind, the instance that wrote it, and what it is about.
 *
 * <p>Customers, services and backend servers may have names that are too long for a key. Such a
 * name is replaced by its hash in the key, and the note's value begins with the name.
 *
 * @param kind the kind of note, without the separator
 * @param instance the instance that wrote the note, without the separator
 * @param subject what the note is about; may be empty
 */
record NoteKey(String kind, String instance, String subject) {
  private static final String SEPARATOR = "|";
  private static final int PARTS = 3;

  /** The longest name in a key, which leaves room for the kind and the instance. */
  private static final int MAX_SUBJECT_BYTES = 100;

  /** Introduces a hash in place of a name. A name that begins so is replaced, too. */
  private static final String HASH_PREFIX = "sha256:";

  /**
   * Splits the key of a record. The subject is the one in the key, which may be a hash.
   *
   * @throws IllegalArgumentException if the key is not that of a note
   */
  static NoteKey parse(String key) {
    String[] parts = key.split("\\|", PARTS);
    if (parts.length != PARTS || parts[1].isBlank()) {
      throw new IllegalArgumentException(
          "key was '%s', expected kind|instance|subject".formatted(key));
    }
    return new NoteKey(parts[0], parts[1], parts[2]);
  }

  /** Returns this key with the subject that the note's value names. */
  NoteKey withSubject(String named) {
    return new NoteKey(kind, instance, named);
  }

  /** Returns whether the key of the record holds a hash in place of the subject. */
  boolean isSubjectHashed() {
    return !subjectInKey(subject).equals(subject);
  }

  /** Returns the key of the record. */
  String toRecordKey() {
    return joined(subjectInKey(subject));
  }

  /**
   * Returns the part of a record's key that stands for a subject: its name or the hash of it. It
   * depends on nothing else, so all instances know a subject by the same one.
   */
  static String subjectInKey(String name) {
    boolean fits =
        name.getBytes(StandardCharsets.UTF_8).length <= MAX_SUBJECT_BYTES
            && !name.startsWith(HASH_PREFIX);
    return fits ? name : HASH_PREFIX + hash(name);
  }

  private String joined(String lastPart) {
    return kind + SEPARATOR + instance + SEPARATOR + lastPart;
  }

  private static String hash(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
