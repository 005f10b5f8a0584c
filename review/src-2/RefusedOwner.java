import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state service refuses one controller for some seconds. Meanwhile a production job takes the
 * places of three tasks, and these are started again on a machine of that controller, to whose
 * partition nothing was granted before. With the argument "twice", the direct commands to that
 * machine are held up for some seconds after the refusal.
 */
final class RefusedOwner {
  /** The time for which no job may be left waiting, once the troubles are over. */
  private static final double WAIT_S = 90;

  private static final double REFUSAL_S = 10;

  private static List<Object> admin(Rig rig, String page, String list) {
    for (String label : rig.labels) {
      Rig.Answer answer = rig.send(label, true, "GET", "/admin/v1/" + page, null, 2).join();
      if (answer.status() == 200) {
        return Json.list(answer.body(), list);
      }
    }
    return List.of();
  }

  private static String find(List<Object> list, String key, String value, String wanted) {
    for (Object o : list) {
      Map<String, Object> entry = Json.cast(o);
      if (value.equals(entry.get(key))) {
        return Json.string(entry, wanted);
      }
    }
    return "";
  }

  private static Checks.Job job(String id, int tasks, String rank, boolean spot) {
    Checks.Job job = new Checks.Job();
    job.id = id;
    job.lane = "rent-ledger";
    job.team = "juristic-ops";
    job.rank = rank;
    job.tasks = tasks;
    job.cpus = 4;
    job.memoryGb = 8.8;
    job.imageGb = 0.4;
    job.runMs = 200_000;
    job.spot = spot;
    return job;
  }

  public static void main(String[] args) throws Exception {
    boolean twice = args.length > 1 && args[1].equals("twice");
    Rig.Site site = Rig.Site.siam();
    Rig rig = new Rig(site);
    rig.cloud.capacity = 3;
    rig.prepare();
    rig.startAll();
    // Of the names that the cloud gives, the first machine's partition comes after the others'.
    rig.cloud.created = 4;
    String first = rig.cloud.add("bkk-east", false, 0);
    rig.awaitUp(12);
    Users users = new Users(rig);
    rig.sleepUntil(rig.now() / 1000.0 + 2);
    Checks.Job ledger = job("run-000001", 4, "normal", true);
    users.submit(ledger);
    if (!rig.await(10, () -> rig.checks.starts == ledger.tasks)) {
      rig.cannotRun("the first job does not start");
    }
    rig.cloud.created = 6;
    String second = rig.cloud.add("bkk-east", true, 0);
    rig.cloud.created = 14;
    String third = rig.cloud.add("bkk-east", true, 0);
    rig.sleepUntil(rig.now() / 1000.0 + 2.5);
    List<Object> machines = admin(rig, "machines", "machines");
    String part = find(machines, "name", second, "part");
    String owner = find(admin(rig, "partitions", "partitions"), "part", part, "owner");
    rig.note(first + " is in " + find(machines, "name", first, "part"));
    rig.note(second + " and " + third + " are in " + part + " of " + owner);
    if (owner.isEmpty() || !part.equals(find(machines, "name", third, "part"))) {
      rig.cannotRun("the machines are not on record");
    }
    if (rig.trouble) {
      synchronized (rig) {
        rig.state.refused.add(owner);
        rig.note("the state service refuses " + owner);
      }
    }
    double served = rig.now() / 1000.0 + REFUSAL_S;
    users.submit(job("run-000002", 3, "prod", false));
    rig.await(REFUSAL_S, () -> rig.checks.running("run-000001") == ledger.tasks && rig.checks.running("run-000002") == 3);
    rig.sleepUntil(served);
    Set<String> moved = rig.checks.machineNames("run-000001");
    rig.note("run-000001 is on " + moved);
    if (rig.trouble) {
      synchronized (rig) {
        rig.state.refused.clear();
        rig.note("the state service no longer refuses " + owner);
        for (Worker worker : rig.workers.values()) {
          if (twice && worker.spot && moved.contains(worker.name)) {
            worker.lateMs = 8_000;
            rig.note("direct commands to " + worker.name + " are held up from now on");
          }
        }
      }
      rig.after(6_000, () -> rig.workers.values().forEach(worker -> worker.lateMs = 0));
    }
    rig.note("the refusal is over");
    if (twice) {
      rig.await(25, () -> !rig.checks.broken.isEmpty());
      rig.finish();
    }
    long[] waitsSince = {-1};
    rig.await(
        rig.trouble ? 98 : 30,
        () -> {
          boolean waits = rig.checks.running("run-000001") < ledger.tasks;
          boolean room =
              rig.workers.values().stream()
                  .anyMatch(w -> w.freeCpus() >= ledger.cpus && w.freeMemoryGb() >= ledger.memoryGb);
          waitsSince[0] = !waits || !room ? -1 : waitsSince[0] < 0 ? rig.now() : waitsSince[0];
          if (waitsSince[0] >= 0 && rig.now() - waitsSince[0] > WAIT_S * 1000) {
            rig.checks.report(
                "waited", "a task of run-000001 has been on no machine for 90 s, with room on one");
          }
          return !rig.checks.broken.isEmpty();
        });
    rig.finish();
  }
}
