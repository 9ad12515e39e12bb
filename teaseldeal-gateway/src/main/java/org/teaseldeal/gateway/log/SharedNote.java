package org.teaseldeal.gateway.log;

import java.util.List;
import java.util.OptionalLong;
import org.teaseldeal.api.Preconditions;

/**
 * A piece of state that an instance publishes to all others; a later note with the same key
 * replaces it.
 */
public sealed interface SharedNote {
  /** Returns the instance that wrote the note. */
  String instance();

  /**
   * An instance's part of a customer's prepaid total.
   *
   * @param instance the instance that wrote the note
   * @param customer the customer whose total is divided
   * @param spent tokens used by this instance, and by previous processes on the same machine
   * @param writtenOff tokens that previous processes held when they ended, which have been written
   *     off
   * @param held tokens that the instance may still use, including those reserved for running
   *     requests
   * @param idle the part of {@code held} that is not reserved
   * @param claimed tokens that the instance claims in addition; they count as held until its next
   *     note
   * @param shortfall tokens that its waiting requests lack, even if the total can't cover them now
   * @param immediate part of {@code idle} and {@code claimed} that may be used immediately
   * @param releasedPerSecond number of the other idle and claimed tokens that are released per
   *     second since the note, once their release has begun
   * @param tokensPerSecond rate at which the instance's requests reserve tokens
   * @param steadyNanos the machine's monotonic clock when the note was composed
   * @param wallMillis the machine's wall clock when the note was composed, in milliseconds since
   *     1970
   * @param heartbeats heartbeats of backend servers counted by then; {@link #UNCOUNTED} if unknown,
   *     or if the wall clock was set shortly before
   */
  record Account(
      String instance,
      String customer,
      long spent,
      long writtenOff,
      long held,
      long idle,
      long claimed,
      long shortfall,
      long immediate,
      long releasedPerSecond,
      long tokensPerSecond,
      long steadyNanos,
      long wallMillis,
      long heartbeats)
      implements SharedNote {
    /** Marks an unknown count of heartbeats. */
    public static final long UNCOUNTED = -1;

    /**
     * Rejects all numbers from which no account can continue, so that a note that can be written
     * can also be read.
     */
    public Account {
      Preconditions.requireText(customer, "customer");
      Preconditions.requireNotNegative(spent, "spent");
      Preconditions.requireNotNegative(held, "held");
      Preconditions.requireNotNegative(idle, "idle");
      Preconditions.requireNotNegative(writtenOff, "tokens written off");
      Preconditions.requireNotNegative(claimed, "claimed tokens");
      Preconditions.requireNotNegative(shortfall, "shortfall");
      Preconditions.requireNotNegative(releasedPerSecond, "tokens released per second");
      Preconditions.requireNotNegative(tokensPerSecond, "tokens per second");
      Preconditions.require(idle <= held, "idle was %d, expected at most %d".formatted(idle, held));
      requireNoOverflow(spent, writtenOff, held, claimed);
      Preconditions.require(
          immediate >= 0 && immediate <= idle + claimed,
          "tokens for immediate use were %d, expected 0 to %d"
              .formatted(immediate, idle + claimed));
    }

    private static void requireNoOverflow(long spent, long writtenOff, long held, long claimed) {
      try {
        Math.addExact(Math.addExact(spent, writtenOff), Math.addExact(held, claimed));
      } catch (ArithmeticException e) {
        throw new IllegalArgumentException("the sum of the numbers overflows", e);
      }
    }

    /** Returns the tokens that can't be granted to another instance. */
    public long taken() {
      return spent + writtenOff + held + claimed;
    }
  }

  /**
   * Returns what stands for a customer in the keys of its notes: its name, or a hash of a name that
   * is too long.
   */
  static String customerInKey(String customer) {
    return NoteKey.subjectInKey(customer);
  }

  /**
   * Stands for an unreadable note about an account. It hides the content of the note before it. It
   * is never written.
   *
   * @param customer the customer as it stands in the note's key; see {@link #customerInKey}
   * @param taken upper bound of the tokens that the note's instance had spent, lost or held; empty
   *     if not even that can be read
   */
  record UnreadableAccount(String instance, String customer, OptionalLong taken)
      implements SharedNote {
    /**
     * Returns an account that counts {@code tokens} as written off, so that nobody uses them again.
     */
    public Account writtenOff(long tokens) {
      return new Account(
          instance, customer, 0, tokens, 0, 0, 0, 0, 0, 0, 0, 0, 0, Account.UNCOUNTED);
    }
  }

  /**
   * The number of backend servers that an instance has seen a request crash.
   *
   * @param instance the instance that wrote the note
   * @param fingerprint hash of the request's caller, path and body
   * @param count number of crashed servers; 0 withdraws the note
   */
  record Crash(String instance, String fingerprint, int count) implements SharedNote {}

  /**
   * A crash of a backend server, and the parts of the prompts that were about to be answered there.
   *
   * @param server names the process of the server that ended
   * @param wallMillis the instance's wall clock at the crash, in milliseconds since 1970
   * @param parts the names of the parts; empty to withdraw the note
   */
  record ServerCrash(String instance, String server, long wallMillis, List<String> parts)
      implements SharedNote {
    public ServerCrash {
      Preconditions.requireText(server, "server");
      parts = List.copyOf(parts);
    }
  }

  /**
   * A prompt part that was answered, and so has not caused the crashes in which it was implicated.
   *
   * @param crashes the names of the servers' processes that ended; empty to withdraw the note
   */
  record ClearedPart(String instance, String part, List<String> crashes) implements SharedNote {
    public ClearedPart {
      Preconditions.requireText(part, "part");
      crashes = List.copyOf(crashes);
    }
  }

  /**
   * The software versions of a service's servers that an instance has seen listed lately.
   *
   * @param wallMillis the machine's wall clock when the note was composed, in milliseconds since
   *     1970
   */
  record ServiceVersions(
      String instance, String service, long wallMillis, List<VersionSeen> versions)
      implements SharedNote {
    public ServiceVersions {
      Preconditions.requireText(service, "service");
      versions = List.copyOf(versions);
    }
  }

  /**
   * A software version of which a server was listed.
   *
   * @param millisAgo how long before the note it was listed last; 0 if it still was
   */
  record VersionSeen(String version, long millisAgo) {
    public VersionSeen {
      Preconditions.requireNotNegative(millisAgo, "milliseconds since the version was listed");
    }
  }

  /**
   * The software versions at which streams began at an instance that could not tell its peers; each
   * note holds only the streams that are new since the one before.
   */
  record StreamVersions(String instance, List<VersionOfStream> streams) implements SharedNote {
    public StreamVersions {
      streams = List.copyOf(streams);
    }
  }

  /**
   * The software version at which a stream began.
   *
   * @param stream the hash that identifies the stream
   */
  record VersionOfStream(long stream, String version) {}

  /**
   * The requests in a second that a process of a backend server says that it takes of all instances
   * together.
   *
   * @param server names the process of the server
   * @param sequence grows with each change that any instance sees; 0 withdraws the note
   * @param ended whether the server doesn't say so any more
   * @param source the instance that saw the change
   */
  record ServerLimit(
      String instance,
      String server,
      long sequence,
      double requestsPerSecond,
      boolean ended,
      String source)
      implements SharedNote {
    public ServerLimit {
      Preconditions.requireText(server, "server");
      Preconditions.requireNotNegative(sequence, "sequence");
      Preconditions.require(
          requestsPerSecond >= 0 && Double.isFinite(requestsPerSecond),
          "requests per second were %s, expected a number of at least 0"
              .formatted(requestsPerSecond));
    }
  }

  /**
   * A process of a backend server that said in an answer that it leaves. It is sent in messages
   * only.
   *
   * @param server names the process of the server
   */
  record ServerLeave(String instance, String server) implements SharedNote {
    public ServerLeave {
      Preconditions.requireText(server, "server");
    }
  }

  /** The address at which the other instances reach an instance. */
  record Presence(String instance, String peerAddress) implements SharedNote {}
}
