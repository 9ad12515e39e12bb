package org.teaseldeal.standin.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.teaseldeal.standin.runtime.Json;

/**
 * The latest events of a stand-in in order, and a count of all its events by kind.
 *
 * <p>The oldest lines are dropped beyond a limit. The counts have no limit, so they show whether
 * lines were dropped.
 */
public final class History {
  private final InstantSource clock;
  private final int maxLines;
  private final Deque<byte[]> lines = new ArrayDeque<>();
  private final Map<String, Long> counts = new TreeMap<>();
  private long sequence;

  public History(InstantSource clock, int maxLines) {
    this.clock = clock;
    this.maxLines = maxLines;
  }

  /** Adds an event of {@code kind}, whose further fields {@code details} fills in. */
  public void add(String kind, Consumer<ObjectNode> details) {
    ObjectNode line = Json.object();
    line.put("seq", sequence).put("at", clock.instant().toString()).put("kind", kind);
    details.accept(line);
    sequence++;
    counts.merge(kind, 1L, Long::sum);
    lines.add(Json.bytes(line));
    if (lines.size() > maxLines) {
      lines.removeFirst();
    }
  }

  /** Returns all retained lines, each terminated by a line feed. */
  public byte[] jsonLines() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (byte[] line : lines) {
      out.writeBytes(line);
      out.write('\n');
    }
    return out.toByteArray();
  }

  /** Returns the number of events of each kind since the start. */
  public Map<String, Long> counts() {
    return new TreeMap<>(counts);
  }
}
