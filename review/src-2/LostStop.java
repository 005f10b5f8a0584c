/**
 * Low-priority tasks that save fill all machines, and a production job comes. The commands that stop
 * two of them are held up on their way for some seconds, and nothing else happens.
 */
final class LostStop {
  /** The time after which a job may not be waiting any more, once the trouble is over. */
  private static final double WAIT_S = 90;

  public static void main(String[] args) throws Exception {
    Rig.Site site = new Rig.Site();
    Rig rig = new Rig(site);
    rig.prepare();
    rig.startAll();
    for (int i = 0; i < 5; i++) {
      rig.cloud.add(site.zones.get(0), false, 0);
    }
    rig.awaitUp(12);
    Users users = new Users(rig);
    rig.sleepUntil(rig.now() / 1000.0 + 4);
    Checks.Job refunds = new Checks.Job();
    refunds.id = "run-000001";
    refunds.lane = "refund-batch";
    refunds.team = "treasury-unit";
    refunds.rank = "best_effort";
    refunds.tasks = 20;
    refunds.cpus = 4;
    refunds.memoryGb = 26;
    refunds.imageGb = 0.9;
    refunds.stashEveryS = 20;
    refunds.stashS = 5;
    refunds.runMs = 180_000;
    users.submit(refunds);
    if (!rig.await(10, () -> rig.checks.starts >= refunds.tasks)) {
      rig.cannotRun("the low-priority job does not fill the machines");
    }
    rig.sleepUntil(rig.now() / 1000.0 + 0.5);
    if (rig.trouble) {
      Worker.lateCommandsMs = 6_000;
      rig.note("direct commands are held up from now on");
    }
    Checks.Job bookings = new Checks.Job();
    bookings.id = "run-000002";
    bookings.lane = "booking-site";
    bookings.team = "booking-desk";
    bookings.rank = "prod";
    bookings.service = true;
    bookings.tasks = 2;
    bookings.cpus = 2;
    bookings.memoryGb = 13;
    bookings.imageGb = 0.9;
    users.submit(bookings);
    rig.sleepUntil(rig.now() / 1000.0 + 4);
    Worker.lateCommandsMs = 0;
    rig.note("direct commands are no longer held up");
    rig.sleepUntil(rig.now() / 1000.0 + 6.1);
    rig.note("the last late command has arrived: the trouble is over");
    double end = rig.now() / 1000.0 + WAIT_S;
    rig.await(
        WAIT_S,
        () ->
            !rig.checks.machinesOf("run-000002/0").isEmpty()
                && !rig.checks.machinesOf("run-000002/1").isEmpty());
    synchronized (rig) {
      for (int i = 0; i < bookings.tasks; i++) {
        if (rig.checks.machinesOf("run-000002/" + i).isEmpty()) {
          rig.checks.report("must_run", "run-000002/" + i + " has not begun " + WAIT_S + " s after");
        }
      }
    }
    rig.finish();
  }
}
