package org.teaseldeal.ledger.fold;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Maps names to dense indexes, in the order in which the names were added.
 *
 * <p>The UTF-8 bytes of all names are in one array and the hash slots hold indexes only, because
 * names as objects would take more memory than the budgets that they name.
 */
final class NameTable {
  static final int NONE = -1;

  private byte[] bytes = new byte[256];
  private int[] ends = new int[16];
  private int[] slots = new int[32];
  private int size;

  int size() {
    return size;
  }

  /** Returns the index of {@code name}, or {@link #NONE} if it is not in the table. */
  int find(String name) {
    byte[] key = name.getBytes(StandardCharsets.UTF_8);
    return slots[slotOf(key)] - 1;
  }

  /** Returns the index of {@code name}, adding the name if it is new. */
  int add(String name) {
    byte[] key = name.getBytes(StandardCharsets.UTF_8);
    int slot = slotOf(key);
    if (slots[slot] != 0) {
      return slots[slot] - 1;
    }
    append(key);
    slots[slot] = size;
    if (size * 4 > slots.length * 3) {
      rehash();
    }
    return size - 1;
  }

  String name(int index) {
    return new String(bytes, start(index), ends[index] - start(index), StandardCharsets.UTF_8);
  }

  private int slotOf(byte[] key) {
    int slot = firstSlot(key, 0, key.length);
    while (slots[slot] != 0 && !matches(slots[slot] - 1, key)) {
      slot = (slot + 1) & (slots.length - 1);
    }
    return slot;
  }

  private int firstSlot(byte[] from, int offset, int length) {
    long hash = Hashing.komihash5_0().hashBytesToLong(from, offset, length);
    return (int) hash & (slots.length - 1);
  }

  private boolean matches(int index, byte[] key) {
    return Arrays.equals(bytes, start(index), ends[index], key, 0, key.length);
  }

  private int start(int index) {
    return index == 0 ? 0 : ends[index - 1];
  }

  private void append(byte[] name) {
    int from = start(size);
    if (from + name.length > bytes.length) {
      bytes = Arrays.copyOf(bytes, Columns.grownLength(bytes.length, from + name.length));
    }
    ends = Columns.ensureIndex(ends, size);
    System.arraycopy(name, 0, bytes, from, name.length);
    ends[size] = from + name.length;
    size++;
  }

  private void rehash() {
    slots = new int[slots.length * 2];
    for (int index = 0; index < size; index++) {
      int slot = firstSlot(bytes, start(index), ends[index] - start(index));
      while (slots[slot] != 0) {
        slot = (slot + 1) & (slots.length - 1);
      }
      slots[slot] = index + 1;
    }
  }
}
