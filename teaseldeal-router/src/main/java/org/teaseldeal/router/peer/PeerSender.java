package org.teaseldeal.router.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.net.IpAddresses;

/** Sends messages to other instances, over one connection per address. */
public final class PeerSender implements AutoCloseable {
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final IncarnationId self;
  private final PeerTimings timings;
  private final RandomGenerator random;
  private final Counter dropped;
  private final Counter reconnects;

  /** Creates a sender without connections. */
  public PeerSender(
      IncarnationId self, PeerTimings timings, RandomGenerator random, MetricRegistry metrics) {
    this.self = self;
    this.timings = timings;
    this.random = random;
    this.dropped = metrics.counter("peer_messages_dropped");
    this.reconnects = metrics.counter("peer_reconnects");
    metrics.gauge("peer_links", () -> links::size);
  }

  /**
   * Sends a message, which may get lost.
   *
   * @throws IllegalArgumentException if the message exceeds the size limit; it is counted as
   *     dropped
   */
  public void send(InstanceCommand.SendPeerMessage command) {
    byte[] envelope = EnvelopeCodec.encode(self, command.message());
    if (envelope.length > EnvelopeCodec.MAX_ENVELOPE_BYTES) {
      dropped.inc();
      throw new IllegalArgumentException(
          "a message had %d bytes, expected at most %d"
              .formatted(envelope.length, EnvelopeCodec.MAX_ENVELOPE_BYTES));
    }
    links.computeIfAbsent(command.address(), this::createLink).send(envelope);
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
    links.clear();
  }

  private PeerLink createLink(String address) {
    return new PeerLink(
        IpAddresses.parse(address),
        timings,
        random,
        dropped,
        reconnects,
        () -> links.remove(address));
  }
}
