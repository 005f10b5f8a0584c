package org.baygw.control.sim;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Measures the cores' work by kind of input: inputs, allocated bytes and time. */
final class WorkMeter {
  /** Work for inputs of one kind. */
  static final class Work {
    long inputs;
    long bytes;
    long nanos;
  }

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final Map<String, Work> byKind = new TreeMap<>();

  /** Runs the action and records its work. */
  <T> T measure(String kind, Supplier<T> action) {
    Work work = byKind.computeIfAbsent(kind, k -> new Work());
    long bytes = THREADS.getCurrentThreadAllocatedBytes();
    long begun = System.nanoTime();
    T result = action.get();
    work.nanos += System.nanoTime() - begun;
    work.bytes += THREADS.getCurrentThreadAllocatedBytes() - bytes;
    work.inputs++;
    return result;
  }

  /** Inputs of all kinds. */
  long inputs() {
    return byKind.values().stream().mapToLong(work -> work.inputs).sum();
  }

  /** Bytes allocated for inputs of all kinds. */
  long bytes() {
    return byKind.values().stream().mapToLong(work -> work.bytes).sum();
  }

  /** A line for each kind; times depend on the machine and are never checked. */
  String table() {
    StringBuilder text = new StringBuilder();
    byKind.forEach(
        (kind, work) ->
            text.append(
                String.format(
                    "%-12s %8d inputs %8.2f KB each %8.1f us each %8.0f ms%n",
                    kind,
                    work.inputs,
                    work.bytes / 1024.0 / work.inputs,
                    work.nanos / 1e3 / work.inputs,
                    work.nanos / 1e6)));
    return text.toString();
  }

  /** The kind of a request or of a call's outcome, by its address and path. */
  static String kind(String address, String path) {
    if (address.equals(SimulatedCluster.CLOUD)) {
      return "cloud";
    }
    if (path.startsWith("/v1/jobs")) {
      return path.endsWith("/abort") ? "abort" : path.equals("/v1/jobs") ? "submit" : "poll";
    }
    int end = path.indexOf('?') < 0 ? path.length() : path.indexOf('?');
    int second = path.indexOf('/', 1);
    return path.substring(1, second > 0 && second < end ? second : end);
  }
}
