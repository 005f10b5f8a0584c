package org.baygw.control.model;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A fixed subset of a zone's machines. */
public final class Partition implements Comparable<Partition> {
  private final String zone;
  private final int index;

  /** Computed once, because the partition's claim is looked up by this name at every clock step. */
  private final String name;

  public Partition(String zone, int index) {
    this.zone = zone;
    this.index = index;
    this.name = zone + "." + index;
  }

  public String zone() {
    return zone;
  }

  public int index() {
    return index;
  }

  /**
   * The partition of a machine.
   *
   * @param perZone the stored number of partitions per zone
   */
  public static Partition of(String machine, String zone, int perZone) {
    int hash = Hashing.murmur3_32_fixed().hashString(machine, StandardCharsets.UTF_8).asInt();
    return new Partition(zone, Math.floorMod(hash, perZone));
  }

  public static List<Partition> all(List<String> zones, int perZone) {
    List<Partition> partitions = new ArrayList<>();
    for (String zone : zones) {
      for (int i = 0; i < perZone; i++) {
        partitions.add(new Partition(zone, i));
      }
    }
    return partitions;
  }

  public static Partition parse(String text) {
    int dot = text.lastIndexOf('.');
    return new Partition(text.substring(0, dot), Integer.parseInt(text.substring(dot + 1)));
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Partition p && index == p.index && zone.equals(p.zone);
  }

  @Override
  public int hashCode() {
    return zone.hashCode() * 31 + index;
  }

  @Override
  public int compareTo(Partition o) {
    int c = zone.compareTo(o.zone);
    return c != 0 ? c : Integer.compare(index, o.index);
  }

  @Override
  public String toString() {
    return name;
  }
}
