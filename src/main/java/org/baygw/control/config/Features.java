package org.baygw.control.config;

/**
 * The operators' choice of optional subsystems, from a file under {@code deploy/}. A disabled
 * subsystem loads no classes and sends nothing.
 *
 * @param standby null if warm standby is disabled
 */
public record Features(Standby standby) {
  /** All optional subsystems are disabled. */
  public static final Features NONE = new Features(null);

  /**
   * Settings of warm standby.
   *
   * @param batchMs ms between two messages to a standby while there are decisions to send
   * @param heartbeatMs ms after which a message is sent even if there are no decisions to send
   * @param suspectMs ms without a message after which a standby suspects its active controller
   * @param keptDecisions decisions kept for each role, for standbys that lag behind
   */
  public record Standby(long batchMs, long heartbeatMs, long suspectMs, int keptDecisions) {
    /** Defaults of fields that the file omits. */
    public static final Standby DEFAULTS = new Standby(1_000, 2_000, 4_500, 4_096);
  }
}
