package org.baygw.control.sim;

import java.util.HashMap;
import java.util.Map;

/** Faults of the messages from one host to another. */
final class NetworkCuts {
  /**
   * The kinds differ in what happens to requests; answers sent in this direction are always lost.
   */
  enum Kind {
    /** Requests are lost. */
    DROP,
    /** Requests are held back and delivered when the cut ends. */
    HOLD,
    /** Requests arrive, but the answers to them are lost. */
    LOSE_ANSWERS
  }

  /** A cut and the time at which it ends. */
  record Active(Kind kind, long untilMs) {}

  private final SimulatedCluster cluster;
  private final Map<String, Active> cuts = new HashMap<>();

  NetworkCuts(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void begin(String from, String to, Kind kind, long forMs) {
    cuts.put(from + ">" + to, new Active(kind, cluster.now() + forMs));
  }

  /** The cut of messages from one host to another; null if there is none now. */
  Active active(String from, String to) {
    Active cut = cuts.get(from + ">" + to);
    return cut == null || cut.untilMs() <= cluster.now() ? null : cut;
  }
}
