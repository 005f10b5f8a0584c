package review;

import java.nio.charset.StandardCharsets;

/** Which partition a machine belongs to, so that a case can choose the names of its machines. */
final class Partitions {
  private Partitions() {}

  static int of(String machine, int perZone) {
    return Math.floorMod(murmur3(machine.getBytes(StandardCharsets.UTF_8)), perZone);
  }

  /** The next name with a number of at least {@code first} that belongs to the partition. */
  static int numberFor(int first, int partition, int perZone) {
    int number = first;
    while (of(String.format("n-%06d", number), perZone) != partition) {
      number++;
    }
    return number;
  }

  /** MurmurHash3, 32 bits, seed 0. */
  private static int murmur3(byte[] data) {
    int hash = 0;
    int i = 0;
    for (; i + 4 <= data.length; i += 4) {
      int k =
          (data[i] & 0xff)
              | (data[i + 1] & 0xff) << 8
              | (data[i + 2] & 0xff) << 16
              | (data[i + 3] & 0xff) << 24;
      hash = Integer.rotateLeft(hash ^ mix(k), 13) * 5 + 0xe6546b64;
    }
    int k = 0;
    for (int shift = 0; i < data.length; i++, shift += 8) {
      k ^= (data[i] & 0xff) << shift;
    }
    hash ^= mix(k);
    hash ^= data.length;
    hash ^= hash >>> 16;
    hash *= 0x85ebca6b;
    hash ^= hash >>> 13;
    hash *= 0xc2b2ae35;
    return hash ^ hash >>> 16;
  }

  private static int mix(int k) {
    return Integer.rotateLeft(k * 0xcc9e2d51, 15) * 0x1b873593;
  }
}
