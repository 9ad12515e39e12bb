package org.teaseldeal.ledger.fold;

import java.util.Arrays;

/**
 * Stores fingerprints of keys, each with a time and a charge id, and drops them in the order in
 * which they were added.
 *
 * <p>The columns form a ring, and hash slots hold positions in it. Keys are kept for days, and each
 * takes some tens of bytes in this form.
 */
final class RecentKeys {
  static final int NONE = -1;
  private static final int INITIAL = 16;

  private long[] keys = new long[INITIAL];
  private long[] times = new long[INITIAL];
  private int[] origins = new int[INITIAL];
  private long[] numbers = new long[INITIAL];
  private int[] slots = new int[INITIAL * 2];
  private int first;
  private int size;

  int size() {
    return size;
  }

  /**
   * Returns the position of {@code key}, or {@link #NONE}. The position is valid until the next
   * change.
   */
  int find(long key) {
    return slots[slotOf(key)] - 1;
  }

  int origin(int position) {
    return origins[position];
  }

  long number(int position) {
    return numbers[position];
  }

  /**
   * Adds a key that is not in the table yet. {@code time} must not be earlier than that of the key
   * added last.
   */
  void add(long key, long time, int origin, long number) {
    if (size == keys.length) {
      grow();
    }
    int position = (first + size) & (keys.length - 1);
    keys[position] = key;
    times[position] = time;
    origins[position] = origin;
    numbers[position] = number;
    slots[slotOf(key)] = position + 1;
    size++;
  }

  /** Drops every key whose time is {@code limit} or earlier. */
  void dropUntil(long limit) {
    while (size > 0 && times[first] <= limit) {
      removeSlot(slotOf(keys[first]));
      first = (first + 1) & (keys.length - 1);
      size--;
    }
  }

  private int slotOf(long key) {
    int slot = homeSlot(key);
    while (slots[slot] != 0 && keys[slots[slot] - 1] != key) {
      slot = (slot + 1) & (slots.length - 1);
    }
    return slot;
  }

  private int homeSlot(long key) {
    long mixed = key * 0x9E3779B97F4A7C15L;
    return (int) (mixed >>> 32) & (slots.length - 1);
  }

  /**
   * Empties a slot and moves later entries of the same probe sequence back, so that no entry
   * becomes unreachable behind the empty slot.
   */
  private void removeSlot(int emptied) {
    int hole = emptied;
    int slot = (hole + 1) & (slots.length - 1);
    while (slots[slot] != 0) {
      int home = homeSlot(keys[slots[slot] - 1]);
      int distanceFromHome = (slot - home) & (slots.length - 1);
      int distanceFromHole = (slot - hole) & (slots.length - 1);
      if (distanceFromHome >= distanceFromHole) {
        slots[hole] = slots[slot];
        hole = slot;
      }
      slot = (slot + 1) & (slots.length - 1);
    }
    slots[hole] = 0;
  }

  private void grow() {
    int length = keys.length * 2;
    keys = unroll(keys, length);
    times = unroll(times, length);
    numbers = unroll(numbers, length);
    int[] newOrigins = new int[length];
    for (int i = 0; i < size; i++) {
      newOrigins[i] = origins[(first + i) & (origins.length - 1)];
    }
    origins = newOrigins;
    first = 0;
    slots = new int[length * 2];
    for (int position = 0; position < size; position++) {
      slots[slotOf(keys[position])] = position + 1;
    }
  }

  private long[] unroll(long[] column, int length) {
    long[] unrolled = Arrays.copyOfRange(column, first, first + length);
    System.arraycopy(column, 0, unrolled, column.length - first, first);
    return unrolled;
  }

  void write(StateWriter out) {
    out.number(size);
    for (int i = 0; i < size; i++) {
      int position = (first + i) & (keys.length - 1);
      out.number(keys[position]).number(times[position]);
      out.number(origins[position]).number(numbers[position]);
    }
  }

  static RecentKeys read(StateReader in) {
    RecentKeys recent = new RecentKeys();
    int count = in.count();
    for (int i = 0; i < count; i++) {
      recent.add(in.number(), in.number(), (int) in.number(), in.number());
    }
    return recent;
  }
}
