package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.log.SharedNote;

/** Decides which limits this instance writes to the shared log, and which notes it withdraws. */
final class LimitNotes {
  /**
   * The longest time after which a limit is written to the shared log. Several instances hear of a
   * change at about the same time; each waits for a random time, and only the first ones write.
   */
  private static final Duration MAX_DELAY = Duration.ofMillis(400);

  private final String instance;
  private final RandomGenerator random;
  private final Map<String, AnnouncedLimit> onLog = new HashMap<>();
  private final Map<String, Instant> dueAt = new HashMap<>();
  private final Set<String> own = new HashSet<>();
  private final Set<String> withdrawn = new HashSet<>();

  LimitNotes(String instance, RandomGenerator random) {
    this.instance = instance;
    this.random = random;
  }

  /** Returns a note of this instance about a limit. */
  SharedNote.ServerLimit note(String server, AnnouncedLimit limit) {
    return new SharedNote.ServerLimit(
        instance,
        server,
        limit.sequence(),
        limit.requestsPerSecond(),
        limit.ended(),
        limit.source());
  }

  /** Returns the limit in a note that is not withdrawn. */
  static AnnouncedLimit limitIn(SharedNote.ServerLimit note) {
    return new AnnouncedLimit(
        note.sequence(), note.requestsPerSecond(), note.ended(), note.source());
  }

  /** Records that this instance saw a change of a server's limit. */
  void onChanged(String server, Instant now) {
    dueAt.put(server, now.plusMillis(random.nextLong(MAX_DELAY.toMillis())));
  }

  /** Records a note on the log that is not withdrawn. */
  void onRead(SharedNote.ServerLimit note, boolean byThisInstance) {
    if (byThisInstance) {
      own.add(note.server());
    }
    onLog.merge(
        note.server(), limitIn(note), (known, read) -> read.supersedes(known) ? read : known);
  }

  /**
   * Returns the notes to write: limits that changed some time ago and that nobody has written, and
   * withdrawals.
   *
   * @param limits the limit of a server process as this instance knows it; null if it knows none
   */
  List<SharedNote> takeDue(Instant now, Function<String, @Nullable AnnouncedLimit> limits) {
    if (dueAt.isEmpty() && withdrawn.isEmpty()) {
      return List.of();
    }
    List<SharedNote> notes = new ArrayList<>();
    for (Map.Entry<String, Instant> each : List.copyOf(dueAt.entrySet())) {
      if (now.isBefore(each.getValue())) {
        continue;
      }
      String server = each.getKey();
      dueAt.remove(server);
      AnnouncedLimit limit = limits.apply(server);
      AnnouncedLimit written = onLog.get(server);
      if (limit != null && (written == null || limit.supersedes(written))) {
        own.add(server);
        notes.add(note(server, limit));
      }
    }
    withdrawn.forEach(
        server -> notes.add(new SharedNote.ServerLimit(instance, server, 0, 0, true, instance)));
    withdrawn.clear();
    return notes;
  }

  /** Forgets the server processes that aren't known any more, and withdraws notes about them. */
  void retain(Predicate<String> known) {
    onLog.keySet().removeIf(known.negate());
    dueAt.keySet().removeIf(known.negate());
    for (String server : List.copyOf(own)) {
      if (!known.test(server)) {
        own.remove(server);
        withdrawn.add(server);
      }
    }
  }
}
