package org.teaseldeal.api;

/** Identifies a data centre by its name. */
public record DataCentre(String name) implements Comparable<DataCentre> {
  public DataCentre {
    Preconditions.requireName(name, "data centre");
  }

  @Override
  public int compareTo(DataCentre other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
