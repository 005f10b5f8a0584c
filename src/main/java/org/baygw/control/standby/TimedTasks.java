package org.baygw.control.standby;

import java.util.List;
import org.pcollections.PVector;
import org.pcollections.TreePVector;
import org.roaringbitmap.RoaringBitmap;

/** Tasks of one job, each with a time. Immutable; the bitmaps are never modified. */
final class TimedTasks {
  /** Tasks that share a time. */
  record Batch(RoaringBitmap tasks, long atMs) {}

  static final TimedTasks NONE = new TimedTasks(TreePVector.empty());

  private final PVector<Batch> batches;

  private TimedTasks(PVector<Batch> batches) {
    this.batches = batches;
  }

  /** A copy in which the given tasks have the given time, replacing any time they had before. */
  TimedTasks with(RoaringBitmap tasks, long atMs) {
    PVector<Batch> rest = without(tasks).batches;
    for (int i = 0; i < rest.size(); i++) {
      if (rest.get(i).atMs() == atMs) {
        RoaringBitmap union = RoaringBitmap.or(rest.get(i).tasks(), tasks);
        return new TimedTasks(rest.with(i, new Batch(union, atMs)));
      }
    }
    return new TimedTasks(rest.plus(new Batch(tasks, atMs)));
  }

  TimedTasks without(RoaringBitmap tasks) {
    PVector<Batch> rest = batches;
    for (int i = rest.size() - 1; i >= 0; i--) {
      Batch batch = rest.get(i);
      if (RoaringBitmap.intersects(batch.tasks(), tasks)) {
        RoaringBitmap left = RoaringBitmap.andNot(batch.tasks(), tasks);
        rest = left.isEmpty() ? rest.minus(i) : rest.with(i, new Batch(left, batch.atMs()));
      }
    }
    return rest == batches ? this : new TimedTasks(rest);
  }

  boolean isEmpty() {
    return batches.isEmpty();
  }

  int count() {
    return batches.stream().mapToInt(batch -> batch.tasks().getCardinality()).sum();
  }

  List<Batch> batches() {
    return batches;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TimedTasks tasks && batches.equals(tasks.batches);
  }

  @Override
  public int hashCode() {
    return batches.hashCode();
  }
}
