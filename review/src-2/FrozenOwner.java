import java.util.List;
import java.util.Map;

/**
 * A controller stands still for some seconds while its clocks run on. Meanwhile a machine stops with
 * all that is on it, and its task is started on another machine, to whose partition nothing was
 * granted before.
 */
final class FrozenOwner {
  /** The time for which no job may be left waiting, once the troubles are over. */
  private static final double WAIT_S = 90;

  /** How long the controller stands still. */
  private static final double FREEZE_S = 14;

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

  public static void main(String[] args) throws Exception {
    Rig.Site site = Rig.Site.siam();
    Rig rig = new Rig(site);
    rig.cloud.capacity = 2;
    rig.prepare();
    rig.startAll();
    // Of the names that the cloud gives, the first machine's partition comes after the second's.
    rig.cloud.created = 5 - 1;
    String first = rig.cloud.add(site.zones.get(0), false, 0);
    rig.awaitUp(12);
    Users users = new Users(rig);
    rig.sleepUntil(rig.now() / 1000.0 + 2);
    Checks.Job job = new Checks.Job();
    job.id = "run-000001";
    job.lane = "rent-ledger";
    job.team = "juristic-ops";
    job.cpus = 4;
    job.memoryGb = 8.8;
    job.runMs = 45_000;
    job.imageGb = 0.5;
    users.submit(job);
    String task = "run-000001/0";
    if (!rig.await(10, () -> !rig.checks.machinesOf(task).isEmpty())) {
      rig.cannotRun("the job does not start");
    }
    rig.sleepUntil(rig.now() / 1000.0 + 1);
    rig.cloud.created = 7 - 1;
    String second = rig.cloud.add(site.zones.get(0), false, 0);
    rig.sleepUntil(rig.now() / 1000.0 + 0.2);
    String secondPart = "bkk-east.0";
    String owner = find(admin(rig, "partitions", "partitions"), "part", secondPart, "owner");
    rig.note(
        first
            + " is in "
            + find(admin(rig, "machines", "machines"), "name", first, "part")
            + ", "
            + second
            + " is in "
            + secondPart
            + " of "
            + owner);
    if (rig.trouble) {
      rig.signal("STOP", owner);
    }
    if (rig.trouble) {
      synchronized (rig) {
        rig.cloud.remove(first);
      }
    }
    double thaw = rig.now() / 1000.0 + FREEZE_S;
    rig.await(FREEZE_S, () -> rig.workers.get(second).runs(task));
    rig.note("the task is on " + rig.checks.machinesOf(task).stream().map(w -> w.name).toList());
    rig.sleepUntil(thaw);
    if (rig.trouble) {
      rig.signal("CONT", owner);
    }
    rig.note("the troubles are over");
    long[] waitsSince = {-1};
    rig.await(
        97,
        () -> {
          boolean waits = rig.checks.machinesOf(task).isEmpty() && !rig.checks.isDone(task);
          boolean room = rig.workers.values().stream().anyMatch(w -> w.freeCpus() >= job.cpus);
          waitsSince[0] = !waits || !room ? -1 : waitsSince[0] < 0 ? rig.now() : waitsSince[0];
          if (waitsSince[0] >= 0 && rig.now() - waitsSince[0] > WAIT_S * 1000) {
            rig.checks.report(
                "waited", task + " has been on no machine for 90 s, with room on a machine that fits");
          }
          return !rig.checks.broken.isEmpty() || "done".equals(rig.checks.told(job.id));
        });
    rig.finish();
  }
}
