package org.teaseldeal.operator.session;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.settings.SubtreeId;

/** The publications of one subtree that were found in records of the log. */
public final class Publications {
  private final SubtreeId subtree;
  private final TreeMap<Long, Publication> byRevision = new TreeMap<>();

  Publications(SubtreeId subtree) {
    this.subtree = subtree;
  }

  void add(List<LogRecord> records) {
    records.forEach(this::addPublicationsOf);
  }

  /** Returns the offset of the record that put {@code revision} in force. */
  public static long offsetOf(long revision) {
    return revision - 1;
  }

  /** A publication as recorded on the log, whether or not it came into force. */
  public record Publication(
      long revision, long baseRevision, String author, String publishedAt, String toml) {}

  /**
   * Returns the revisions that were in force up to {@code current}, latest first, as far back as
   * the log retains records. Each publication names the revision that it replaced, so following
   * these references finds the accepted ones without evaluating the others.
   */
  public List<Publication> acceptedUpTo(long current) {
    List<Publication> accepted = new ArrayList<>();
    Publication publication = byRevision.get(current);
    while (publication != null) {
      accepted.add(publication);
      publication = byRevision.get(publication.baseRevision());
    }
    return accepted;
  }

  private void addPublicationsOf(LogRecord record) {
    if (!(BatchCodec.decode(record.payload()) instanceof BatchCodec.Decoded.Valid valid)) {
      return;
    }
    for (Entry entry : valid.batch().entries()) {
      if (entry instanceof Entry.PublishSettings publish && publish.subtree().equals(subtree)) {
        long revision = record.offset() + 1;
        byRevision.putIfAbsent(
            revision,
            new Publication(
                revision,
                publish.baseRevision(),
                publish.author(),
                record.appendedAt().toString(),
                publish.toml()));
      }
    }
  }
}
