package org.teaseldeal.router.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Parses server-sent events from parts of a stream that may be split at any byte.
 *
 * <p>Only {@code data} lines are read, which are all that engines send. Other fields and comments
 * are skipped.
 */
final class SseParser {
  private static final byte[] FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

  private final int maxEventBytes;
  private final Consumer<byte[]> events;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final ByteArrayOutputStream data = new ByteArrayOutputStream();
  private boolean hasData;
  private boolean afterCarriageReturn;

  SseParser(int maxEventBytes, Consumer<byte[]> events) {
    this.maxEventBytes = maxEventBytes;
    this.events = events;
  }

  /**
   * Parses the next part of the stream.
   *
   * @throws IllegalArgumentException if an event exceeds the size limit
   */
  void feed(byte[] part) {
    for (byte next : part) {
      // A line ends with CR, LF or CRLF. The LF of a CRLF may be the first byte of the next part.
      if (next == '\n' && afterCarriageReturn) {
        afterCarriageReturn = false;
        continue;
      }
      afterCarriageReturn = next == '\r';
      if (next == '\n' || next == '\r') {
        endLine();
      } else {
        addToLine(next);
      }
    }
  }

  private void addToLine(byte next) {
    if (line.size() + data.size() >= maxEventBytes) {
      throw new IllegalArgumentException("an event exceeds %d bytes".formatted(maxEventBytes));
    }
    line.write(next);
  }

  private void endLine() {
    byte[] text = line.toByteArray();
    line.reset();
    if (text.length == 0) {
      endEvent();
    } else if (isData(text)) {
      addData(text);
    }
  }

  private void endEvent() {
    if (hasData) {
      byte[] event = data.toByteArray();
      data.reset();
      hasData = false;
      events.accept(event);
    }
  }

  private void addData(byte[] text) {
    if (hasData) {
      data.write('\n');
    }
    hasData = true;
    int start = FIELD.length < text.length && text[FIELD.length] == ' ' ? 1 : 0;
    data.write(text, FIELD.length + start, text.length - FIELD.length - start);
  }

  private static boolean isData(byte[] text) {
    if (text.length < FIELD.length) {
      return false;
    }
    for (int i = 0; i < FIELD.length; i++) {
      if (text[i] != FIELD[i]) {
        return false;
      }
    }
    return true;
  }
}
