package org.baygw.control.model;

import org.baygw.control.Constants;

/**
 * An accepted job: its key's value. The time of day of acceptance serves deadlines only.
 *
 * @param cancelledMs time of day at which the cancellation was written, before any user was told of
 *     it; 0 where the job is not cancelled
 */
public record Job(JobSpec spec, State state, long acceptedMs, long cancelledMs) {
  /** Durable states; the final ones never change. */
  public enum State {
    ACCEPTED,
    DONE,
    CANCELLED
  }

  /** A job that has just been accepted. */
  public static Job accepted(JobSpec spec, long nowMs) {
    return new Job(spec, State.ACCEPTED, nowMs, 0);
  }

  public boolean open() {
    return state == State.ACCEPTED;
  }

  /** This job, completed. */
  public Job done() {
    return new Job(spec, State.DONE, acceptedMs, 0);
  }

  /** This job, cancelled at a time of day. */
  public Job cancelled(long nowMs) {
    return new Job(spec, State.CANCELLED, acceptedMs, nowMs);
  }

  /** How many keys its progress takes. */
  public int chunks() {
    return (spec.tasks() + Constants.CHUNK_TASKS - 1) / Constants.CHUNK_TASKS;
  }
}
