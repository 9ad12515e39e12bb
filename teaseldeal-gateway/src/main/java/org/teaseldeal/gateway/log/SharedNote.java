package org.teaseldeal.gateway.log;

import org.teaseldeal.api.Preconditions;

/** Something that an instance tells all others; a later note with the same key replaces it. */
public sealed interface SharedNote {
  /** The instance that wrote it. */
  String instance();

  /**
   * An instance's part of a customer's prepaid total.
   *
   * @param spent tokens used by this instance, and by those before it on the same machine
   * @param lost tokens that those before it held when they ended
   * @param held tokens that it may still use, those of running requests among them
   * @param idle the part of {@code held} that no request has
   * @param asked tokens that it wants besides; they count as held until its next note
   * @param wanted tokens that its waiting requests lack, also where the total can't give them now
   * @param promised part of {@code idle} and {@code asked} that may be used at once
   * @param pace how many of the others may be used for each second since the note, once the time
   *     for that has come
   * @param tokensPerSecond that its requests set aside
   * @param steadyNanos the machine's steady clock when it was written
   * @param wallMillis the time of day when it was written
   * @param heartbeats of backend servers counted by then; {@link #UNCOUNTED} if not known, or if
   *     the time of day was set shortly before
   */
  record Account(
      String instance,
      String customer,
      long spent,
      long lost,
      long held,
      long idle,
      long asked,
      long wanted,
      long promised,
      long pace,
      long tokensPerSecond,
      long steadyNanos,
      long wallMillis,
      long heartbeats)
      implements SharedNote {
    /** No count of heartbeats. */
    public static final long UNCOUNTED = -1;

    public Account {
      Preconditions.requireNotNegative(spent, "spent");
      Preconditions.requireNotNegative(held, "held");
      Preconditions.requireNotNegative(idle, "idle");
      Preconditions.requireNotNegative(lost, "lost");
      Preconditions.requireNotNegative(asked, "asked");
      Preconditions.requireNotNegative(wanted, "wanted");
      Preconditions.requireNotNegative(pace, "pace");
    }

    /** What of the total can't be given to another instance. */
    public long taken() {
      return Math.addExact(Math.addExact(spent, lost), Math.addExact(held, asked));
    }
  }

  /**
   * A note of an account that can't be read: it says nothing, and hides what the note before it
   * said. Never written.
   */
  record UnreadableAccount(String instance, String customer) implements SharedNote {}

  /**
   * How many backend servers this instance has seen a request crash.
   *
   * @param fingerprint of the request's caller, path and body
   * @param count 0 takes the note back
   */
  record Crash(String instance, String fingerprint, int count) implements SharedNote {}

  /** Where an instance can be reached by the others. */
  record Presence(String instance, String peerAddress) implements SharedNote {}
}
