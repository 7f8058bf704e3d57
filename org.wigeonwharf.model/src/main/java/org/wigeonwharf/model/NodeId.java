package org.wigeonwharf.model;

/**
 * Identifies one incarnation of a router process on an entry VM.
 *
 * <p>A process that restarts on the same entry VM keeps its name and gets a new incarnation, so
 * that messages, leases and idempotency keys of the old process are never attributed to the new
 * one.
 *
 * @param name the entry VM's name
 * @param incarnation a random positive number chosen when the process starts
 */
public record NodeId(String name, long incarnation) implements Comparable<NodeId> {
  /** Rejects a blank name. */
  public NodeId {
    Names.requireName(name, "entry VM");
  }

  @Override
  public int compareTo(NodeId other) {
    int c = name.compareTo(other.name);
    return c != 0 ? c : Long.compare(incarnation, other.incarnation);
  }

  @Override
  public String toString() {
    return name + "#" + Long.toHexString(incarnation);
  }
}
