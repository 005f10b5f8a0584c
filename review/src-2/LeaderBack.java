import java.util.Map;

/**
 * The leader hands over and back while a task that it stopped is saving. The task is started again on
 * another machine by the next leader. When the first one leads again, a production job comes.
 */
final class LeaderBack {
  /** The time for which a job may be left waiting. */
  private static final double WAIT_S = 90;

  private static String leader(Rig rig) {
    for (String label : rig.labels) {
      Rig.Answer answer = rig.send(label, true, "GET", "/admin/v1/members", null, 2).join();
      if (answer.status() == 200 && !Json.string(answer.body(), "leader").isEmpty()) {
        return Json.string(answer.body(), "leader");
      }
    }
    return "";
  }

  private static boolean awaitLeader(Rig rig, String label, boolean same, double seconds) {
    long end = rig.now() + (long) (seconds * 1000);
    while (rig.now() < end) {
      String found = leader(rig);
      if (!found.isEmpty() && found.equals(label) == same) {
        rig.note(found + " leads");
        return true;
      }
      Rig.sleep(50);
    }
    return false;
  }

  private static Checks.Job job(String id, String lane, String team, String rank, int tasks, long runMs) {
    Checks.Job job = new Checks.Job();
    job.id = id;
    job.lane = lane;
    job.team = team;
    job.rank = rank;
    job.tasks = tasks;
    job.cpus = 4;
    job.imageGb = 0.5;
    job.runMs = runMs;
    return job;
  }

  public static void main(String[] args) throws Exception {
    Rig.Site site = new Rig.Site();
    site.withGuest("eco-survey");
    Rig rig = new Rig(site);
    rig.cloud.capacity = 2;
    rig.prepare();
    rig.startAll();
    rig.cloud.add(site.zones.get(0), false, 0);
    rig.awaitUp(12);
    Users users = new Users(rig);
    rig.sleepUntil(rig.now() / 1000.0 + 2);
    Checks.Job models = job("run-000001", "grazing-models", "eco-survey", "best_effort", 4, 300_000);
    models.memoryGb = 28.8;
    models.stashEveryS = 30;
    models.stashS = 3;
    users.submit(models);
    if (!rig.await(10, () -> rig.checks.running("run-000001") == 4)) {
      rig.cannotRun("the first job does not start");
    }
    rig.cloud.add(site.zones.get(0), false, 0);
    rig.sleepUntil(rig.now() / 1000.0 + 1);
    users.submit(job("run-000002", "permit-lists", "park-planning", "prod", 3, 300_000));
    users.submit(job("run-000003", "permit-lists", "park-planning", "prod", 1, 9_000));
    if (!rig.await(10, () -> rig.checks.running("run-000002") == 3 && rig.checks.running("run-000003") == 1)) {
      rig.cannotRun("the second machine is not filled");
    }
    String first = leader(rig);
    rig.note(first + " leads");
    users.submit(job("run-000004", "booking-site", "booking-desk", "prod", 1, 300_000));
    if (!rig.await(6, () -> rig.checks.running("run-000001") == 4 && rig.saving() == 1)) {
      rig.cannotRun("no task is stopped for the production job");
    }
    if (rig.trouble) {
      rig.note("handover of " + first + ": " + rig.send(first, true, "POST", "/admin/v1/handover", null, 5).join().status());
      if (!awaitLeader(rig, first, false, 6)) {
        rig.cannotRun("no other controller leads");
      }
    }
    if (!rig.await(20, () -> rig.checks.running("run-000001") == 4 && rig.saving() == 0 && rig.checks.running("run-000004") == 1)) {
      rig.cannotRun("the stopped task is not started again");
    }
    rig.note("all four tasks of run-000001 run, on " + rig.checks.machineNames("run-000001"));
    if (rig.trouble) {
      String second = leader(rig);
      rig.note(first + " accepts roles again: " + rig.send(first, true, "DELETE", "/admin/v1/handover", null, 5).join().status());
      Rig.sleep(500);
      rig.kill(second);
      rig.start(second);
      if (!awaitLeader(rig, first, true, 12)) {
        rig.note("the first leader does not lead again");
      }
      Rig.sleep(4000); // until the killed controller has its partitions again
    }
    rig.note("the troubles are over");
    users.submit(job("run-000005", "booking-site", "booking-desk", "prod", 1, 300_000));
    rig.await(WAIT_S, () -> rig.checks.hasBegun("run-000005"));
    if (!rig.checks.hasBegun("run-000005")) {
      rig.checks.report("guarantee", "run-000005 has waited 90 s for another team's tasks");
    }
    rig.finish();
  }
}
