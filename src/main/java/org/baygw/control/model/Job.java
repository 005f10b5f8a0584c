package org.baygw.control.model;

import org.baygw.control.Constants;

/**
 * An accepted job as stored under its key.
 *
 * @param acceptedMs time of day of acceptance; used for deadlines only
 * @param cancelledMs time of day at which the cancellation was written, which is before it was
 *     confirmed to any user; 0 if the job is not cancelled
 */
public record Job(JobSpec spec, State state, long acceptedMs, long cancelledMs) {
  /** Durable states; DONE and CANCELLED are final. */
  public enum State {
    ACCEPTED,
    DONE,
    CANCELLED
  }

  public static Job accepted(JobSpec spec, long nowMs) {
    return new Job(spec, State.ACCEPTED, nowMs, 0);
  }

  public boolean open() {
    return state == State.ACCEPTED;
  }

  public Job completed() {
    return new Job(spec, State.DONE, acceptedMs, 0);
  }

  /** This job, cancelled at the given time of day. */
  public Job cancelled(long nowMs) {
    return new Job(spec, State.CANCELLED, acceptedMs, nowMs);
  }

  /** The number of chunks, each stored under its own key, that hold the job's progress. */
  public int progressChunks() {
    return (spec.tasks() + Constants.CHUNK_TASKS - 1) / Constants.CHUNK_TASKS;
  }
}
