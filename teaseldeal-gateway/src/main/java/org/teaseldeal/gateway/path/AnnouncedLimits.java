package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.LogParticipant;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.RateAnnouncement;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Keeps this instance to its share of the requests in a second that backend servers say that they
 * take of all instances together.
 *
 * <p>A server says so in its answers, and only to the instances that it answers. They tell the
 * others, in messages for speed and on the shared log for instances that are started later or don't
 * receive the messages. A limit holds for one process of a server, until an answer to a request
 * that was sent after the limit was named doesn't name it.
 */
public final class AnnouncedLimits implements LogParticipant {
  /** The value of {@link #requestsPerSecond} for a server without a limit. */
  public static final double NO_LIMIT = -1;

  /** How long limits of servers that aren't listed are kept, as lists differ between instances. */
  private static final Duration UNLISTED_RETENTION = Duration.ofSeconds(30);

  /** How long the holders of a server aren't asked after none could be. */
  private static final Duration NO_HOLDER_PAUSE = Duration.ofMillis(200);

  private final String instance;
  private final Supplier<Set<String>> instances;
  private final Function<String, Optional<String>> addressOf;
  private final Consumer<SharedNote> broadcast;
  private final EventSink events;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Map<String, LimitedServer> servers = new HashMap<>();
  private final LimitNotes notes;
  private final Set<String> reportedUnreadable = new HashSet<>();

  /**
   * Creates the limits of an instance.
   *
   * @param instances supplies the names of all instances, as a different object after each change
   * @param addressOf the address of an instance for other instances; empty if it is unknown
   * @param broadcast sends a note to all other instances; it may be lost
   * @param random spreads what several instances do after the same event
   */
  public AnnouncedLimits(
      String instance,
      Supplier<Set<String>> instances,
      Function<String, Optional<String>> addressOf,
      Consumer<SharedNote> broadcast,
      EventSink events,
      InstantSource clock,
      RandomGenerator random) {
    this.instance = instance;
    this.instances = instances;
    this.addressOf = addressOf;
    this.broadcast = broadcast;
    this.events = events;
    this.clock = clock;
    this.random = random;
    this.notes = new LimitNotes(instance, random);
  }

  /** Creates limits of an instance that knows no other one. */
  public static AnnouncedLimits alone(
      String instance, EventSink events, InstantSource clock, RandomGenerator random) {
    Set<String> only = Set.of(instance);
    return new AnnouncedLimits(
        instance, () -> only, name -> Optional.empty(), note -> {}, events, clock, random);
  }

  /** Returns whether no server names a limit, or has named one. */
  public boolean isEmpty() {
    return servers.isEmpty();
  }

  /** Returns the number of server processes that name a limit. */
  public int count() {
    return (int) servers.values().stream().filter(each -> !each.limit().ended()).count();
  }

  /** Returns the requests in a second that a server takes; negative if it names no limit. */
  public double requestsPerSecond(BackendServer server) {
    LimitedServer known = find(server);
    return known == null || known.limit().ended() ? NO_LIMIT : known.limit().requestsPerSecond();
  }

  /** Returns whether a server names a limit, or has named one until a short time ago. */
  public boolean isLimited(BackendServer server) {
    return inForce(server, clock.instant()) != null;
  }

  /** Returns whether this instance may send a request to a server at {@code now}. */
  public boolean hasRoom(BackendServer server, Instant now) {
    LimitedServer limited = inForce(server, now);
    return limited == null || limited.hasRoom(now);
  }

  /** Returns the addresses of the other instances that may have room for a request. */
  public List<String> otherHolders(BackendServer server) {
    Instant now = clock.instant();
    LimitedServer limited = inForce(server, now);
    return limited == null
        ? List.of()
        : limited.holdersWithRoom(now).stream()
            .flatMap(holder -> addressOf.apply(holder).stream())
            .toList();
  }

  /** Returns how long this instance itself has no room for a request to a server. */
  Duration noRoomFor(BackendServer server) {
    Instant now = clock.instant();
    LimitedServer limited = inForce(server, now);
    return limited == null
        ? Duration.ZERO
        : notNegative(Duration.between(now, limited.roomAt(now)));
  }

  /**
   * Returns when a server has room for a request of this instance, sent by itself or another one;
   * {@code now} if the server names no limit.
   */
  public Instant roomAt(BackendServer server, Instant now) {
    LimitedServer limited = inForce(server, now);
    if (limited == null) {
      return now;
    }
    Instant own = limited.roomAt(now);
    Instant others = limited.roomAtOthers(now);
    return own.isBefore(others) ? own : others;
  }

  /**
   * Returns the requests in a second that all instances together may send to a server at {@code
   * now}; 0 if the server names no limit. It is more than the limit for a while after its end.
   */
  public double allowedPerSecond(BackendServer server, Instant now) {
    LimitedServer limited = inForce(server, now);
    return limited == null ? 0 : limited.rate(now);
  }

  private static Duration notNegative(Duration duration) {
    return duration.isNegative() ? Duration.ZERO : duration;
  }

  private @Nullable LimitedServer inForce(BackendServer server, Instant now) {
    LimitedServer known = find(server);
    return known != null && known.isInForce(now) ? known : null;
  }

  private @Nullable LimitedServer find(BackendServer server) {
    return servers.isEmpty() ? null : servers.get(server.incarnation().name());
  }

  /** Counts a request that is about to be sent by this instance. */
  SentRequest onSent(BackendServer server) {
    Instant now = clock.instant();
    LimitedServer limited = inForce(server, now);
    if (limited == null) {
      return SentRequest.UNCOUNTED;
    }
    limited.onSent(now);
    return new Counted(limited);
  }

  /** Records that a request is offered to a holder at an address. */
  void onOffered(BackendServer server, String address) {
    LimitedServer limited = find(server);
    if (limited != null) {
      holderAt(address).ifPresent(holder -> limited.onOffered(holder, clock.instant()));
    }
  }

  /** Records that a holder at an address has no room for some time. */
  void onNoRoom(BackendServer server, String address, Duration noRoomFor) {
    LimitedServer limited = find(server);
    if (limited != null) {
      Instant until = clock.instant().plus(noRoomFor);
      holderAt(address).ifPresent(holder -> limited.onNoRoom(holder, until));
    }
  }

  /** Records that no holder of a server could be asked. */
  void onNoHolder(BackendServer server) {
    LimitedServer limited = find(server);
    if (limited != null) {
      limited.onNoHolder(clock.instant().plus(NO_HOLDER_PAUSE));
    }
  }

  private Optional<String> holderAt(String address) {
    return instances.get().stream()
        .filter(each -> addressOf.apply(each).filter(address::equals).isPresent())
        .findFirst();
  }

  /**
   * Records what an answer says.
   *
   * @param sentAt when the request was sent; an answer without a limit ends a limit only if the
   *     request was sent after the limit was named, as answers may overtake each other
   */
  public void onAnswer(BackendServer server, RateAnnouncement announcement, Instant sentAt) {
    switch (announcement) {
      case RateAnnouncement.Limited limited -> onNamed(server, limited.requestsPerSecond());
      case RateAnnouncement.Absent absent -> onNotNamed(server, sentAt);
      case RateAnnouncement.Unreadable unreadable -> {
        if (reportedUnreadable.add(server.incarnation().name())) {
          events.accept(
              new GatewayEvent.ServerRateLimitUnreadable(server.id().name(), unreadable.value()));
        }
      }
    }
  }

  private void onNamed(BackendServer server, double requestsPerSecond) {
    Instant now = clock.instant();
    LimitedServer known = find(server);
    if (known == null) {
      publish(server.incarnation(), new AnnouncedLimit(1, requestsPerSecond, false, instance));
    } else if (known.limit().differsFrom(requestsPerSecond)) {
      publish(server.incarnation(), known.limit().changedTo(requestsPerSecond, instance));
    } else {
      known.setLimit(known.limit().adjustedTo(requestsPerSecond), now);
    }
  }

  private void onNotNamed(BackendServer server, Instant sentAt) {
    LimitedServer known = find(server);
    if (known != null && !known.limit().ended() && sentAt.isAfter(known.heardAt())) {
      publish(server.incarnation(), known.limit().endedBy(instance));
    }
  }

  private void publish(ServerIncarnation server, AnnouncedLimit limit) {
    apply(server.name(), limit);
    notes.onChanged(server.name(), clock.instant());
    broadcast.accept(notes.note(server.name(), limit));
  }

  private void apply(String server, AnnouncedLimit limit) {
    Instant now = clock.instant();
    LimitedServer known = servers.get(server);
    if (known == null) {
      servers.put(
          server, new LimitedServer(serverId(server), instance, instances, limit, now, random));
      report(server, limit, "named");
    } else if (limit.supersedes(known.limit())) {
      boolean begins = known.limit().ended() && !limit.ended();
      known.setLimit(limit, now);
      report(server, limit, begins ? "named" : "changed");
    }
  }

  private void report(String server, AnnouncedLimit limit, String state) {
    events.accept(
        new GatewayEvent.ServerRateLimit(
            server,
            limit.ended() ? "ended" : state,
            limit.requestsPerSecond(),
            limit.sequence(),
            limit.source()));
  }

  private static BackendServerId serverId(String process) {
    int separator = process.lastIndexOf(ServerIncarnation.NAME_SEPARATOR);
    return new BackendServerId(separator > 0 ? process.substring(0, separator) : process);
  }

  /** Processes a note of another instance that arrived as a message. */
  public void onMessage(SharedNote note) {
    if (!note.instance().equals(instance) && note instanceof SharedNote.ServerLimit limit) {
      take(limit);
    }
  }

  private void take(SharedNote.ServerLimit note) {
    if (note.sequence() > 0) {
      apply(note.server(), LimitNotes.limitIn(note));
    }
  }

  @Override
  public void onNote(SharedNote note, boolean own) {
    if (note instanceof SharedNote.ServerLimit limit && limit.sequence() > 0) {
      notes.onRead(limit, own);
      take(limit);
    }
  }

  @Override
  public void onLoaded(List<SharedNote> loaded, boolean first) {
    loaded.forEach(note -> onNote(note, note.instance().equals(instance)));
  }

  @Override
  public boolean awaitsPeerNotes() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    return notes.takeDue(now, this::limitOf);
  }

  private @Nullable AnnouncedLimit limitOf(String server) {
    LimitedServer known = servers.get(server);
    return known == null ? null : known.limit();
  }

  /** Forgets processes of servers that have not been listed for a while. */
  void retain(Set<ServerIncarnation> listed) {
    Instant now = clock.instant();
    Set<String> names = new HashSet<>();
    listed.forEach(each -> names.add(each.name()));
    reportedUnreadable.retainAll(names);
    servers
        .entrySet()
        .removeIf(
            each ->
                !names.contains(each.getKey())
                    && now.isAfter(each.getValue().heardAt().plus(UNLISTED_RETENTION)));
    notes.retain(servers::containsKey);
  }

  /** A request that takes a part of this instance's share. */
  private static final class Counted implements SentRequest {
    private final LimitedServer server;
    private boolean ended;

    Counted(LimitedServer server) {
      this.server = server;
    }

    @Override
    public void onArrived() {
      if (!ended) {
        ended = true;
        server.onAnswered();
      }
    }

    @Override
    public void onNotSent() {
      if (!ended) {
        ended = true;
        server.onNotSent();
      }
    }
  }
}
