package org.baygw.control.sim;

import java.util.EnumMap;
import java.util.Map;

/**
 * A fault of the network: requests of controllers that were carried out and answered arrive at
 * their receiver once more, late, also after their sender has restarted. Nobody waits for the
 * second answer.
 */
final class RepeatedRequests {
  /** Who receives the requests. */
  enum Receiver {
    WORKERS,
    STATE,
    CLOUD,
    CONTROLLERS
  }

  /** Bounds of the delay of a repeat without a given delay. */
  static final int MIN_DELAY_MS = 500;

  static final int MAX_DELAY_MS = 14_500;

  private record Fault(double share, long delayMs, long untilMs) {}

  private final SimulatedCluster cluster;
  private final Map<Receiver, Fault> faults = new EnumMap<>(Receiver.class);

  /** Number of requests that arrived once more, by receiver. */
  final Map<Receiver, Integer> repeats = new EnumMap<>(Receiver.class);

  RepeatedRequests(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Repeats this share of the requests to the receiver; a delay of 0 is a random one. */
  void begin(Receiver receiver, double share, long delayMs, long forMs) {
    faults.put(receiver, new Fault(share, delayMs, cluster.now() + forMs));
  }

  /**
   * The callback for the answer to a request that is delivered now: it passes the answer on and, if
   * the request was carried out, may schedule its repeat.
   */
  StateServiceStub.ResponseCallback repeating(
      String from,
      String to,
      String method,
      StateServiceStub.ResponseCallback respond,
      Runnable repeat) {
    boolean fromController =
        cluster.nodes.containsKey(from) || from.equals(ProcessCluster.ANY_CONTROLLER);
    if (!fromController || method.equals("GET")) {
      return respond;
    }
    Receiver receiver = receiver(to);
    Fault fault = faults.get(receiver);
    if (fault == null
        || cluster.now() >= fault.untilMs()
        || cluster.random.nextDouble() >= fault.share()) {
      return respond;
    }
    return (status, body) -> {
      if (status >= 200 && status < 300) {
        cluster.after(
            delayMs(fault),
            () -> {
              repeats.merge(receiver, 1, Integer::sum);
              repeat.run();
            });
      }
      respond.done(status, body);
    };
  }

  private Receiver receiver(String to) {
    return switch (to) {
      case "state" -> Receiver.STATE;
      case "cloud" -> Receiver.CLOUD;
      default -> cluster.nodes.containsKey(to) ? Receiver.CONTROLLERS : Receiver.WORKERS;
    };
  }

  private long delayMs(Fault fault) {
    return fault.delayMs() > 0
        ? fault.delayMs()
        : MIN_DELAY_MS + cluster.random.nextInt(MAX_DELAY_MS - MIN_DELAY_MS);
  }
}
