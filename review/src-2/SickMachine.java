/**
 * A machine that runs a replica of a service fails every task that it starts, for some seconds. It
 * is sound afterwards and has room, and a job waits for room.
 */
final class SickMachine {
  /** The time for which no job may be left waiting, once the trouble is over. */
  private static final double WAIT_S = 90;

  private static Checks.Job job(String id, int tasks, long runMs) {
    Checks.Job job = new Checks.Job();
    job.id = id;
    job.tasks = tasks;
    job.runMs = runMs;
    job.imageGb = 0.3;
    return job;
  }

  public static void main(String[] args) throws Exception {
    Rig.Site site = new Rig.Site();
    Rig rig = new Rig(site);
    rig.cloud.capacity = 3;
    rig.prepare();
    rig.startAll();
    for (int i = 0; i < 3; i++) {
      rig.cloud.add(site.zones.get(0), false, 0);
    }
    rig.awaitUp(12);
    Users users = new Users(rig);
    rig.sleepUntil(rig.now() / 1000.0 + 2.5);
    Checks.Job service = job("run-000001", 3, 0);
    service.service = true;
    service.rank = "prod";
    service.lane = "booking-site";
    service.team = "booking-desk";
    service.cpus = 2;
    service.memoryGb = 13;
    users.submit(service);
    if (!rig.await(10, () -> rig.checks.starts >= service.tasks)) {
      rig.cannotRun("the service does not start");
    }
    Worker machine = rig.checks.machinesOf("run-000001/0").iterator().next();
    boolean[] sick = {rig.trouble};
    Worker.faults = (worker, task, number) -> sick[0] && worker == machine ? 300 : -1;
    rig.note(machine.name + " fails every task that it starts from now on: " + rig.trouble);
    // Two jobs of which some tasks fail on the machine and others are done elsewhere.
    users.submit(job("run-000002", 42, 1000));
    rig.await(14, () -> rig.checks.allDone("run-000002"));
    users.submit(job("run-000003", 42, 1000));
    rig.sleepUntil(rig.now() / 1000.0 + 2);
    sick[0] = false;
    rig.note(machine.name + " is sound again: the trouble is over");

    // Long tasks for all room but the machine's: the number that the two others hold.
    users.submit(job("run-000004", 28, 300_000));
    rig.sleepUntil(rig.now() / 1000.0 + 2.5);
    Checks.Job waiting = job("run-000005", 2, 5_000);
    users.submit(waiting);
    long accepted = rig.now();
    boolean[] hadRoom = {true};
    rig.await(
        WAIT_S,
        () -> {
          hadRoom[0] &= machine.freeCpus() >= waiting.cpus && machine.freeMemoryGb() >= 5.7;
          return rig.checks.hasBegun(waiting.id);
        });
    rig.note(
        machine.name + " has " + machine.freeCpus() + " CPUs and " + machine.freeMemoryGb() + " GB free");
    if (!rig.checks.hasBegun(waiting.id) && hadRoom[0]) {
      rig.checks.report(
          "waited",
          waiting.id + " has waited " + (rig.now() - accepted) / 1000 + " s with room on " + machine.name);
    }
    rig.finish();
  }
}
