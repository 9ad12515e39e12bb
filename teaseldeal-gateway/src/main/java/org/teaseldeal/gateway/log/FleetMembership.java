package org.teaseldeal.gateway.log;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The instances that have ever joined the fleet, according to the note that each writes once. */
public final class FleetMembership implements LogParticipant {
  private final SharedNote.Presence own;
  private final Map<String, String> addresses = new TreeMap<>();
  private Set<String> instanceNames;
  private List<String> peerAddresses = List.of();
  private boolean changed;
  private boolean ownNoteWritten;

  /**
   * Creates the view of {@code instance}, which the other instances reach at {@code peerAddress}.
   */
  public FleetMembership(String instance, String peerAddress) {
    this.own = new SharedNote.Presence(instance, peerAddress);
    addresses.put(instance, peerAddress);
    instanceNames = Set.of(instance);
  }

  /**
   * Returns the names of all instances, including this one; a different set object after each
   * change.
   */
  public Set<String> instanceNames() {
    refresh();
    return instanceNames;
  }

  /** Derives what is asked for often from the addresses, once after many instances have joined. */
  private void refresh() {
    if (!changed) {
      return;
    }
    changed = false;
    if (instanceNames.size() != addresses.size()) {
      instanceNames = Set.copyOf(addresses.keySet());
    }
    peerAddresses =
        addresses.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(own.instance()))
            .map(Map.Entry::getValue)
            .toList();
  }

  /**
   * Returns the number of known instances, including this one and those that have left for good.
   */
  public int size() {
    return addresses.size();
  }

  /** Returns the address of an instance; empty if it has never joined. */
  public Optional<String> addressOf(String instance) {
    return Optional.ofNullable(addresses.get(instance));
  }

  /** Returns the addresses of the other instances. */
  public List<String> peerAddresses() {
    refresh();
    return peerAddresses;
  }

  @Override
  public void onNote(SharedNote note, boolean ownNote) {
    if (!(note instanceof SharedNote.Presence presence)) {
      return;
    }
    if (!ownNote) {
      join(presence);
    } else if (!presence.equals(own)) {
      // A foreign note under this instance's key would make the others call a wrong address until
      // this process restarts.
      ownNoteWritten = false;
    }
  }

  private void join(SharedNote.Presence presence) {
    String earlier = addresses.put(presence.instance(), presence.peerAddress());
    changed |= !presence.peerAddress().equals(earlier);
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    notes.forEach(note -> onNote(note, note.instance().equals(own.instance())));
  }

  @Override
  public boolean awaitsPeerNotes() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    if (ownNoteWritten) {
      return List.of();
    }
    ownNoteWritten = true;
    return List.of(own);
  }
}
