package org.baygw.control.model;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A fixed share of a zone's machines. */
public record Part(String zone, int index) implements Comparable<Part> {
  /** The part of a machine where each zone has so many; that number is durable (see Membership). */
  public static Part of(String machine, String zone, int perZone) {
    int h = Hashing.murmur3_32_fixed().hashString(machine, StandardCharsets.UTF_8).asInt();
    return new Part(zone, Math.floorMod(h, perZone));
  }

  public static List<Part> all(List<String> zones, int perZone) {
    List<Part> out = new ArrayList<>();
    for (String z : zones) {
      for (int i = 0; i < perZone; i++) {
        out.add(new Part(z, i));
      }
    }
    return out;
  }

  public static Part parse(String text) {
    int dot = text.lastIndexOf('.');
    return new Part(text.substring(0, dot), Integer.parseInt(text.substring(dot + 1)));
  }

  // Written out for the same reason as in TaskId.
  @Override
  public boolean equals(Object o) {
    return o instanceof Part p && index == p.index && zone.equals(p.zone);
  }

  @Override
  public int hashCode() {
    return zone.hashCode() * 31 + index;
  }

  @Override
  public int compareTo(Part o) {
    int c = zone.compareTo(o.zone);
    return c != 0 ? c : Integer.compare(index, o.index);
  }

  @Override
  public String toString() {
    return zone + "." + index;
  }
}
