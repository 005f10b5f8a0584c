package org.baygw.control.model;

/** An accepted job: its key's value. The time of day of acceptance serves deadlines only. */
public record Job(JobSpec spec, State state, long acceptedMs) {
  /** Durable states; the final ones never change. */
  public enum State {
    ACCEPTED,
    DONE,
    CANCELLED
  }

  public boolean open() {
    return state == State.ACCEPTED;
  }

  public Job with(State next) {
    return new Job(spec, next, acceptedMs);
  }

  public int chunks() {
    return (spec.tasks() + org.baygw.control.Constants.CHUNK_TASKS - 1)
        / org.baygw.control.Constants.CHUNK_TASKS;
  }
}
