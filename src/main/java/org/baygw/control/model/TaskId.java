package org.baygw.control.model;

/** One task of a job. */
public record TaskId(String job, int index) implements Comparable<TaskId> {
  /** Returns null if the text is not a task ID. */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash <= 0) {
      return null;
    }
    try {
      int index = Integer.parseInt(text.substring(slash + 1));
      return index < 0 ? null : new TaskId(text.substring(0, slash), index);
    } catch (NumberFormatException e) {
      return null;
    }
  }

  // Implemented explicitly: the generated methods of a record are linked at run time, which slows
  // down start-up considerably.
  @Override
  public boolean equals(Object o) {
    return o instanceof TaskId t && index == t.index && job.equals(t.job);
  }

  @Override
  public int hashCode() {
    return job.hashCode() * 31 + index;
  }

  @Override
  public int compareTo(TaskId o) {
    int c = job.compareTo(o.job);
    return c != 0 ? c : Integer.compare(index, o.index);
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
