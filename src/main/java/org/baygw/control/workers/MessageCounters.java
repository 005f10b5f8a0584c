package org.baygw.control.workers;

/** Counts of messages to and from workers, by kind, for the metrics page. */
public final class MessageCounters {
  long launches;
  long kills;
  long forgets;
  long refusedCalls;
  long unansweredCalls;
  long outdatedReports;
  long newerTokenReports;

  /** Launch orders sent. */
  public long launches() {
    return launches;
  }

  /** Kill orders sent. */
  public long kills() {
    return kills;
  }

  /** Forget orders sent. */
  public long forgets() {
    return forgets;
  }

  /** Direct calls that a worker refused with 409, because of their token or session. */
  public long refusedCalls() {
    return refusedCalls;
  }

  /** Direct calls without an answer. */
  public long unansweredCalls() {
    return unansweredCalls;
  }

  /** Reports dropped because they are not newer than what is known, or of a returned machine. */
  public long outdatedReports() {
    return outdatedReports;
  }

  /** Reports refused because they carry a token above this controller's. */
  public long newerTokenReports() {
    return newerTokenReports;
  }
}
