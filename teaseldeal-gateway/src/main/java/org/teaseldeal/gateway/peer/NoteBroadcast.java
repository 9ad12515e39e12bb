package org.teaseldeal.gateway.peer;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.log.NoteMessage;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * Sends notes to all other instances in datagrams.
 *
 * @param addresses supplies the addresses of the other instances
 */
public record NoteBroadcast(Supplier<List<String>> addresses, PeerTransport transport)
    implements Consumer<SharedNote> {
  /** The names that fit into a datagram that isn't fragmented, even if they are long. */
  private static final int MAX_NAMES = 16;

  /** The longest content of a UDP datagram over IPv4. */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  private static final Logger LOG = LoggerFactory.getLogger(NoteBroadcast.class);

  @Override
  public void accept(SharedNote note) {
    switch (note) {
      case SharedNote.ServerCrash crash -> {
        for (List<String> parts : chunks(crash.parts())) {
          send(
              new SharedNote.ServerCrash(
                  crash.instance(), crash.server(), crash.wallMillis(), parts));
        }
      }
      case SharedNote.ClearedPart cleared -> {
        for (List<String> crashes : chunks(cleared.crashes())) {
          send(new SharedNote.ClearedPart(cleared.instance(), cleared.part(), crashes));
        }
      }
      default -> send(note);
    }
  }

  /** Sends a note. One that is too long must not keep the others from being sent. */
  private void send(SharedNote note) {
    byte[] message;
    try {
      message = NoteMessage.encode(note);
    } catch (IllegalArgumentException e) {
      LOG.warn("a note can't be sent to other instances: {}", e.getMessage());
      return;
    }
    if (message.length > MAX_DATAGRAM_BYTES) {
      LOG.warn("a note of {} bytes is too long for a datagram", message.length);
      return;
    }
    addresses.get().forEach(address -> transport.send(address, message));
  }

  private static List<List<String>> chunks(List<String> names) {
    int count = (names.size() + MAX_NAMES - 1) / MAX_NAMES;
    return IntStream.range(0, count)
        .mapToObj(i -> names.subList(i * MAX_NAMES, Math.min(names.size(), (i + 1) * MAX_NAMES)))
        .toList();
  }
}
