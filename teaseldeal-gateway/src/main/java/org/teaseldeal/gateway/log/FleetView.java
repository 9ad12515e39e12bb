package org.teaseldeal.gateway.log;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The instances that have ever joined, by the notes that each leaves once. */
public final class FleetView implements LogParticipant {
  private final SharedNote.Presence own;
  private final Map<String, String> addresses = new TreeMap<>();
  private Set<String> names;
  private boolean written;

  /** Creates the view of {@code instance}, which others reach at {@code peerAddress}. */
  public FleetView(String instance, String peerAddress) {
    this.own = new SharedNote.Presence(instance, peerAddress);
    addresses.put(instance, peerAddress);
    names = Set.of(instance);
  }

  /** The names of all, this one's among them; another set after each change. */
  public Set<String> names() {
    return names;
  }

  /** How many instances there may be, this one included; those gone for good count too. */
  public int size() {
    return addresses.size();
  }

  /** Where an instance can be reached; empty if it has never joined. */
  public Optional<String> addressOf(String instance) {
    return Optional.ofNullable(addresses.get(instance));
  }

  /** Where the other instances can be reached. */
  public List<String> others() {
    return addresses.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(own.instance()))
        .map(Map.Entry::getValue)
        .toList();
  }

  @Override
  public void onNote(SharedNote note, boolean ownNote) {
    if (!(note instanceof SharedNote.Presence presence)) {
      return;
    }
    if (!ownNote) {
      join(presence);
    } else if (!presence.equals(own)) {
      // Somebody else's under the own key: the others would call the wrong address until a restart.
      written = false;
    }
  }

  private void join(SharedNote.Presence presence) {
    if (addresses.put(presence.instance(), presence.peerAddress()) == null) {
      names = Set.copyOf(addresses.keySet());
    }
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    notes.forEach(note -> onNote(note, note.instance().equals(own.instance())));
  }

  @Override
  public boolean waitsForOthers() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    if (written) {
      return List.of();
    }
    written = true;
    return List.of(own);
  }
}
