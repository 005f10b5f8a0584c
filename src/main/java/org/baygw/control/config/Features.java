package org.baygw.control.config;

/**
 * The operators' choice of optional subsystems, from a file under {@code deploy/}. What is off
 * loads no classes and sends nothing.
 *
 * @param standby null where warm standby is off
 */
public record Features(Standby standby) {
  /** Nothing optional is on. */
  public static final Features NONE = new Features(null);

  /**
   * Warm standby.
   *
   * @param batchMs ms between two messages to a standby while there are decisions to send
   * @param heartbeatMs ms after which a message is sent even if there are none
   * @param suspectMs ms of silence after which a standby suspects its active controller
   * @param keptDecisions of each role, for a standby that lags
   */
  public record Standby(long batchMs, long heartbeatMs, long suspectMs, int keptDecisions) {
    /** What holds where the file does not say otherwise. */
    public static final Standby DEFAULTS = new Standby(1_000, 2_000, 4_500, 4_096);
  }
}
