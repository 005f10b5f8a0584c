package org.baygw.control.standby;

import java.util.Random;
import org.roaringbitmap.RoaringBitmap;

/** Random decisions of all types for tests, on few machines and jobs so that they interact. */
final class RandomDecisions {
  private final Random random;

  RandomDecisions(long seed) {
    random = new Random(seed);
  }

  Decision next() {
    String machine = "n-" + random.nextInt(12);
    String job = "run-" + random.nextInt(6);
    long atMs = 1_700_000_000_000L + random.nextInt(5);
    return switch (random.nextInt(12)) {
      case 0 -> new Decision.SessionKnown(machine, machine + ":9000", random.nextInt(9));
      case 1, 2 -> new Decision.TasksLaunched(machine, job, tasks(), atMs);
      case 3 -> new Decision.TasksEnded(machine, job, tasks());
      case 4 -> new Decision.TasksFailed(machine, job, 1 + random.nextInt(3));
      case 5 -> random.nextInt(4) > 0 ? new Decision.MachineSick(machine) : completed(machine);
      case 6 -> new Decision.MachineGone(machine);
      case 7 -> new Decision.JobWaiting(job, atMs);
      case 8 -> new Decision.JobServed(job);
      case 9 -> new Decision.TasksGranted(job, tasks(), atMs);
      case 10 -> new Decision.GrantsEnded(job, tasks());
      default -> new Decision.CapacityRefused("c16", "a", random.nextBoolean(), atMs);
    };
  }

  private static Decision completed(String machine) {
    return new Decision.TaskCompleted(machine);
  }

  private RoaringBitmap tasks() {
    RoaringBitmap tasks = new RoaringBitmap();
    int first = random.nextInt(300);
    tasks.add((long) first, first + 1 + random.nextInt(40));
    return tasks;
  }
}
