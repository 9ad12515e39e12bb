package org.teaseldeal.gateway.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.fake.ManualClock;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerListing;

/** Instances that tell each other the versions of streams; each may be down, and messages lost. */
final class StreamFleet {
  static final String SERVICE = "models";

  private static final Duration ROUND = Duration.ofMillis(100);
  private static final int MAX_ROUNDS = 20;

  final ManualClock clock = new ManualClock();
  final Set<String> down = new HashSet<>();

  /** One in this many messages is lost; 0 if none is. */
  int messagesPerLoss;

  int messages;
  private final Random random = new Random(1);
  private final Map<String, Member> members = new HashMap<>();

  /** The newest note of each instance, in the order of the log. */
  private final Map<String, SharedNote> notes = new LinkedHashMap<>();

  private Set<String> names = Set.of();

  /** One instance and the list of servers as it knows it. */
  final class Member implements StreamPeers {
    final ServerDirectory servers = new ServerDirectory();
    final VersionHistory history;
    final StreamOrigins origins;
    boolean listIsCurrent = true;

    /** When the newest read of the list was begun while the list isn't current. */
    Instant listReadBegunAt = Instant.MIN;

    boolean hearsPeers = true;

    /** How far the machine's time of day is ahead. */
    Duration clockAhead = Duration.ZERO;

    private Member(String name, Duration clockAhead) {
      this.clockAhead = clockAhead;
      history =
          new VersionHistory(
              name, servers, this::broadcast, clock, () -> clock.instant().plus(clockAhead));
      origins =
          new StreamOrigins(
              name,
              () -> names,
              this,
              history,
              () -> listIsCurrent ? clock.instant() : listReadBegunAt,
              () -> hearsPeers,
              clock);
      history.onLoaded(List.copyOf(notes.values()), true);
    }

    @Override
    public void announce(String instance, StreamKey stream, String version) {
      messages++;
      boolean lost = messagesPerLoss > 0 && random.nextInt(messagesPerLoss) == 0;
      if (!lost && !down.contains(instance)) {
        member(instance).origins.onAnnounced(stream, version);
      }
    }

    @Override
    public void ask(String instance, StreamKey stream, Consumer<Answer> answer) {
      messages++;
      if (down.contains(instance)) {
        answer.accept(new Answer.Unreachable("down"));
        return;
      }
      answer.accept(
          member(instance)
              .origins
              .find(stream)
              .<Answer>map(Answer.Known::new)
              .orElseGet(Answer.Unknown::new));
    }

    /** Lists a server, and shares the note that this causes. */
    void list(String server, String version) {
      putListing(server, version);
      shareNotes();
    }

    private void putListing(String server, String version) {
      servers.put(
          new ServerListing(
              new BackendServerId(server),
              SERVICE,
              "10.0.0.1:80",
              "hall-a",
              version,
              8,
              false,
              Optional.of(Instant.EPOCH)));
    }

    void unlist(String server) {
      servers.remove(new BackendServerId(server));
      shareNotes();
    }

    /** Lists a server and loads the notes once more before the note of it is shared. */
    void listAndReload(String server, String version) {
      putListing(server, version);
      history.tick();
      history.onLoaded(List.copyOf(notes.values()), false);
      shareNotes();
    }

    /** Sends a note to the members that hear each other. */
    private void broadcast(SharedNote note) {
      if (hearsPeers) {
        members.values().stream()
            .filter(member -> member != this && member.hearsPeers)
            .forEach(member -> member.history.onMessage(note));
      }
    }

    private void shareNotes() {
      history.tick();
      history
          .notesToWrite(clock.instant())
          .forEach(
              note -> {
                notes.remove(note.instance());
                notes.put(note.instance(), note);
                members.values().stream()
                    .filter(member -> member.listIsCurrent)
                    .forEach(member -> member.history.onNote(note, member == this));
              });
    }

    /** The version of a stream; empty if nobody knows it. */
    Optional<String> resolve(StreamKey stream) {
      StreamOrigins.Resolution[] found = new StreamOrigins.Resolution[1];
      origins.resolve(stream, SERVICE, resolution -> found[0] = resolution);
      for (int i = 0; found[0] == null && i < MAX_ROUNDS; i++) {
        clock.advance(ROUND);
        origins.tick();
      }
      return switch (found[0]) {
        case StreamOrigins.Resolution.Known known -> Optional.of(known.version());
        case StreamOrigins.Resolution.Unknown unknown -> Optional.empty();
      };
    }
  }

  /** Lets time pass in which the members of a set of instances run. */
  void runFor(Duration time, Member... running) {
    Duration step = Duration.ofMillis(500);
    for (Duration passed = Duration.ZERO; passed.compareTo(time) < 0; passed = passed.plus(step)) {
      clock.advance(step);
      for (Member member : running) {
        member.shareNotes();
      }
    }
  }

  /** Starts a process of an instance, in place of an earlier one. */
  Member start(String name) {
    return start(name, Duration.ZERO);
  }

  /** Starts a process on a machine whose time of day is ahead. */
  Member start(String name, Duration clockAhead) {
    Member started = new Member(name, clockAhead);
    members.put(name, started);
    Set<String> joined = new HashSet<>(names);
    joined.add(name);
    names = Set.copyOf(joined);
    return started;
  }

  Member member(String name) {
    Member found = members.get(name);
    if (found == null) {
      throw new IllegalArgumentException("no instance " + name);
    }
    return found;
  }

  static String name(int index) {
    return "instance-" + index;
  }

  static StreamKey stream(int index) {
    return StreamKey.of("trawler", SERVICE, "r-" + index);
  }
}
